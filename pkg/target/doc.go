// Package target is the attached host's side of its targets: connections, grants, drains, health and announcements.
// Only the host that holds a target's attachment uses it, so its counts of requests in flight are exact.
package target
