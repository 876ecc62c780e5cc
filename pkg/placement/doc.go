// Package placement plans which target owns each shard, and which data centre each shard is delegated to. Planning is a
// pure function of the input: it uses no I/O, clock or random numbers. Plans change as few owners as possible. The greedy
// moves under a limit follow Slicer (Adya et al., OSDI 2016) and Shard Manager (Lee et al., SOSP 2021).
package placement
