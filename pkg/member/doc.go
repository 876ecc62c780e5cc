// Package member connects a replica with its disk and with the members on other hosts.
package member
