// Package dispatch decides which target of a service runs a request, which requests wait, which are refused and which may be
// retried. It does no I/O; the current time is passed in. One Dispatcher serves one entry host. The entry hosts of a region report
// their requests in flight to each other, so that each takes the load from the others into account.
package dispatch
