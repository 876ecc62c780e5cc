// Package raft is a Raft consensus core without I/O, goroutines or clocks, after Ongaro, "Consensus: Bridging Theory
// and Practice" (the Raft thesis): pre-vote (9.6), check-quorum and leader lease (6.4.1), read index (6.4), learners and
// single-server membership changes (4.1, 4.2), leadership transfer (3.10) and log compaction (5).
//
// A caller drives a Node from one goroutine. It passes in time, messages and commands with TickBy, Step and Propose, then
// calls Ready and does the work that Ready returns: store the hard state, snapshot and entries durably, send the messages,
// apply the committed entries, and call Advance. Step must not be called between Ready and Advance. Time is counted in
// ticks; the source of randomness is part of the Config.
package raft
