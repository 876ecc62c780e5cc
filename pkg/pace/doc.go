// Package pace limits the requests in flight at a target by what its answers show. It does no I/O; callers pass in the time.
package pace
