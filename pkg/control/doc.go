// Package control is the state machine and the service of the control group: the few hosts with disks that decide
// configuration revisions, host membership, which data centre each shard is delegated to, and the generations of the
// data centre groups. The state machine is deterministic; the Driver, which runs on the leader, only proposes.
package control
