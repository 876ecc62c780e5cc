// Package control implements the control group: the few hosts with disks that decide on configuration revisions, host
// membership, the data centre that each shard is delegated to, and the generations of the data centre groups. State is the
// deterministic replicated state machine; Driver, which runs on the leader, only proposes commands for it; Service answers the
// calls of hosts and operators.
package control
