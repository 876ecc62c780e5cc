// Package registrar runs a registry host: a member of the Raft group that replicates the registry on hosts with disks. It takes
// announcements of targets and control requests of operators, serves views of the registry to entry hosts and, while it is the
// leader, manages the grants of exclusive services and the membership of the group.
package registrar
