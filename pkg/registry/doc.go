// Package registry is the replicated state machine of a deployment: the route configuration, the registrations of targets,
// evacuated data centres, the key ranges of exclusive services with their fences, and the entry and registry hosts. Targets
// announce themselves to a few registry hosts with disks, which replicate this state. The package does no I/O. Data that may be
// lost, such as load reports and the times of announcements, is not part of the state.
package registry
