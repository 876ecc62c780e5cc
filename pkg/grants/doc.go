// Package grants assigns the key ranges of exclusive services to targets and keeps them granted. A target may serve the keys of a
// range only while it has a valid grant, so that each key has at most one owner at a time. The functions that choose owners, moves
// and splits do no I/O. Manager runs on the leader of the registry and calls targets through the Granter interface.
package grants
