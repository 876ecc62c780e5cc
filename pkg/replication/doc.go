// Package replication runs one member of a Raft group: it drives a raft.Node with a storage, a transport and a clock,
// and applies committed commands to a state machine. One goroutine does all the work; calls are queued to it, and all
// that is queued is appended, stored and sent together.
package replication
