package grants

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/upstream"
)

// ErrNoConnection is returned for a renewal whose connection is closed.
var ErrNoConnection = merry.Sentinel("the connection over which the keys were granted is closed")

// FencedError reports that a target has seen a higher fence on one of the keys.
type FencedError struct{ Target string }

// Error implements error.
func (e *FencedError) Error() string { return "target " + e.Target + " knows a higher fence" }

// AnswerError reports a target that refused a call.
type AnswerError struct {
	Target string
	Status string
}

// Error implements error.
func (e *AnswerError) Error() string { return "target " + e.Target + " answered " + e.Status }

func isFenced(err error) bool {
	var fenced *FencedError
	return errors.As(err, &fenced)
}

// neverArrived reports whether a failed call certainly had no effect at the target.
func neverArrived(err error) bool {
	var answer *AnswerError
	var failed *upstream.Error
	return errors.As(err, &answer) || (errors.As(err, &failed) && failed.Stage == upstream.NotSent)
}
