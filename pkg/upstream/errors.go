package upstream

import (
	"errors"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
)

// ErrNoReusableConnection is the cause of the failure of a request that asked for a kept connection when there was none.
var ErrNoReusableConnection = merry.Sentinel("no connection was kept")

// Stage is how far a request came.
type Stage int

// Stages of a failed request.
const (
	// NotSent: no byte was written, so the target certainly did not run the request.
	NotSent Stage = iota + 1
	// Sent: bytes were written and no answer came; the target may have run the request.
	Sent
	// InvalidResponse: bytes came that are no answer to the request; the target may have run it.
	InvalidResponse
)

// String implements fmt.Stringer.
func (s Stage) String() string {
	switch s {
	case NotSent:
		return "not-sent"
	case Sent:
		return "sent"
	default:
		return "garbled"
	}
}

// Error is a request without an answer.
type Error struct {
	Stage Stage
	// Address is the target's.
	Address string
	// Reused is set when the connection had carried a request before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("request to %s (%v, reused connection %v): %v", e.Address, e.Stage, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Timeout reports whether the time of the request ran out.
func (e *Error) Timeout() bool { return errors.Is(e.Cause, os.ErrDeadlineExceeded) }

// RequestIDMismatchError reports an answer to another request.
type RequestIDMismatchError struct{ Want, Got string }

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("answer has the request id %q, not %q", e.Got, e.Want)
}

// BodyError reports a body that ended early or broke off.
type BodyError struct{ Cause error }

// Error implements error.
func (e *BodyError) Error() string { return "incomplete answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }
