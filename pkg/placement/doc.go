// Package placement plans which target owns which shard and which data centre gets which shard. It is pure: the same
// input gives the same plan, with no I/O, clock or random numbers. Plans change as little as possible; the greedy moves
// under a cap follow Slicer (Adya et al., OSDI 2016) and Shard Manager (Lee et al., SOSP 2021).
package placement
