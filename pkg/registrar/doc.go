// Package registrar is a host that keeps the registry: a member of the replicated group on hosts with disks. It takes
// announcements of targets and orders of operators, serves views to entry hosts, and, while it leads, keeps the grants
// of exclusive services and the membership of the group.
package registrar
