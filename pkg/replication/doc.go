// Package replication runs one member of a Raft group. It connects a raft.Node to a storage, a transport and a clock, and
// applies committed commands to a state machine. One goroutine does all the work. Calls are queued to it, and everything
// that is queued is appended, stored and sent together.
package replication
