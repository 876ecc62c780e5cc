// Package ownership decides, within one data centre, which host is attached to each target, that is, which host may send
// requests to it, and which target owns each shard and hot key. Table is the replicated state machine of the data centre
// group. Driver runs on the group's leader: it grants host leases and turns observations into commands for the table. The
// combination of leases, fences and a replicated assignment table follows Centrifuge (Adya et al., NSDI 2010) and Slicer
// (Adya et al., OSDI 2016).
package ownership
