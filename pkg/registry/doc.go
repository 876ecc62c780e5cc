// Package registry is the replicated state of a deployment whose targets announce themselves to a few hosts with disks:
// the configuration of routes, registrations, evacuated data centres, key ranges with their fences, and hosts. It has
// no I/O. What is soft (load, last announcement) is not part of it.
package registry
