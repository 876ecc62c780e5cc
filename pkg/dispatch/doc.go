// Package dispatch decides which target of a service runs a request, which requests wait, which are refused and which
// may be sent again. It has no I/O; the time is passed in. One Core serves one entry host. Hosts of a region tell each
// other what they have in flight, so that their choices add up.
package dispatch
