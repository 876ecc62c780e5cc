package grants

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/upstream"
)

// ErrConnectionClosed is returned for a renewal whose connection is closed.
var ErrConnectionClosed = merry.Sentinel("the connection over which the keys were granted is closed")

// StaleFenceError reports that a target has seen a higher fence on one of the keys.
type StaleFenceError struct{ Target string }

// Error implements error.
func (e *StaleFenceError) Error() string { return "target " + e.Target + " knows a higher fence" }

// StatusError reports a target that refused a call.
type StatusError struct {
	Target string
	Status string
}

// Error implements error.
func (e *StatusError) Error() string { return "target " + e.Target + " answered " + e.Status }

func isFenced(err error) bool {
	var fenced *StaleFenceError
	return errors.As(err, &fenced)
}

// neverArrived reports whether a failed call certainly had no effect at the target.
func neverArrived(err error) bool {
	var answer *StatusError
	var failed *upstream.Error
	return errors.As(err, &answer) || (errors.As(err, &failed) && failed.Stage == upstream.NotSent)
}
