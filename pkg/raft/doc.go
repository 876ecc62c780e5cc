// Package raft is a Raft consensus core without I/O, goroutines or clocks, after Ongaro, "Consensus: Bridging Theory
// and Practice" (the Raft thesis): pre-vote (9.6), check-quorum and leader lease (6.4.1), read index (6.4), learners and
// single-server membership changes (4.1, 4.2), leadership transfer (3.10) and log compaction (5).
//
// A caller drives a Node from one goroutine: it feeds TickBy, Step and Propose, then takes Ready, makes its hard state,
// snapshot and entries durable, sends its messages, applies its committed entries, and calls Advance. Step must not be
// called between Ready and Advance. Time is counted in ticks; randomness is injected.
package raft
