// Package member connects a replica to its write-ahead log and, over RPC, to the members of its group on other hosts.
package member
