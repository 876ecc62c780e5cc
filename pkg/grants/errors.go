package grants

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/upstream"
)

// ErrConnectionClosed is returned for a renewal if the connection that carried the grant is closed.
var ErrConnectionClosed = merry.Sentinel("the connection over which the keys were granted is closed")

// errLeaseEnded is the error of a grant call that was not sent because another host may be the leader by now.
var errLeaseEnded = merry.Sentinel("the leader lease has ended")

// StaleFenceError reports that a target has seen a higher fence for one of the keys.
type StaleFenceError struct{ Target string }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return "target " + e.Target + " has seen a higher fence for one of the keys"
}

// StatusError reports that a target refused a call with an HTTP status other than 200 and 409.
type StatusError struct {
	Target string
	Status string
}

// Error implements error.
func (e *StatusError) Error() string {
	return "target " + e.Target + " refused the call with status " + e.Status
}

// isStaleFence reports whether err is or wraps a StaleFenceError.
func isStaleFence(err error) bool {
	var staleFence *StaleFenceError
	return errors.As(err, &staleFence)
}

// hadNoEffect reports whether a failed call certainly had no effect at the target.
func hadNoEffect(err error) bool {
	var statusErr *StatusError
	var upstreamErr *upstream.Error
	return errors.As(err, &statusErr) || (errors.As(err, &upstreamErr) && upstreamErr.Stage == upstream.NotSent)
}
