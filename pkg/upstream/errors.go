package upstream

import (
	"errors"
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
)

// ErrNoReusableConnection is the cause of the Error for a request with RequireReused when its pool has no idle connection.
var ErrNoReusableConnection = merry.Sentinel("no idle connection to reuse")

// ErrRequestIncomplete is the error of a response body without a length whose connection ended before the whole request was sent.
var ErrRequestIncomplete = merry.Sentinel("the connection ended before the whole request was sent, which leaves the end of the response unknown")

// Stage is how far a failed request got.
type Stage int

// Stages of a failed request.
const (
	// NotSent: no byte was written, so the target has certainly not run the request.
	NotSent Stage = iota + 1
	// Sent: bytes were written and no response arrived; the target may have run the request.
	Sent
	// InvalidResponse: bytes arrived that are not a response to the request; the target may have run it.
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

// Error reports a request that got no usable response.
type Error struct {
	Stage Stage
	// Address is the address of the target.
	Address string
	// Reused is set when the connection had carried an earlier request.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("request to %s (%v, reused connection %v): %v", e.Address, e.Stage, e.Reused, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Timeout reports whether the deadline of the request passed.
func (e *Error) Timeout() bool { return errors.Is(e.Cause, os.ErrDeadlineExceeded) }

// RequestIDMismatchError reports a response that carries the ID of another request.
type RequestIDMismatchError struct{ Want, Got string }

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("response has the request ID %q, not %q", e.Got, e.Want)
}

// InvalidHeaderError reports a request with a header field that would be sent as something else, such as further fields.
type InvalidHeaderError struct{ Name string }

// Error implements error.
func (e *InvalidHeaderError) Error() string {
	return fmt.Sprintf("header field %q of the request is not valid", e.Name)
}

// HeaderTooLongError reports a target that sent more than Limit bytes before the end of a response header.
type HeaderTooLongError struct{ Limit int }

// Error implements error.
func (e *HeaderTooLongError) Error() string {
	return fmt.Sprintf("response header is longer than %d bytes", e.Limit)
}

// BodyError reports a response body that ended before its length or could not be read to its end.
type BodyError struct{ Cause error }

// Error implements error.
func (e *BodyError) Error() string { return "incomplete response body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }
