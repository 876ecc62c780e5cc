package rpc

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// Codes of RemoteError that this package sets itself. Handlers may use others.
const (
	CodeInternal      = "internal"
	CodeDeadline      = "deadline"
	CodeUnknownMethod = "unknown-method"
	CodeBadRequest    = "bad-request"
	CodeTooLarge      = "message-too-large"
)

// maxErrorLength bounds the text of an error in a response header, in bytes, so that it fits a header frame.
const maxErrorLength = 4096

// UnavailableError reports that the request was certainly not sent whole, so that it did not run.
type UnavailableError struct {
	Address string
	// RetryAfter is the time left of the back-off before the next dial; zero when a call may try at once.
	RetryAfter time.Duration
	Cause      error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable, request not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// TimeoutError reports that the call's context ended before an answer arrived.
type TimeoutError struct {
	Address, Method string
	// MaybeSent is set when any byte may have been sent; the request may then have run.
	MaybeSent bool
	Cause     error
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no answer from %s to %s (sent: %t): %v", e.Address, e.Method, e.MaybeSent, e.Cause)
}

// Unwrap returns the error of the context.
func (e *TimeoutError) Unwrap() error { return e.Cause }

// ConnectionLostError reports that the connection ended after the request was sent and before its answer arrived. The
// request may have run.
type ConnectionLostError struct {
	Address, Method string
	Cause           error
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("connection to %s lost during %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// RemoteError is an error that the handler or the server answered with.
type RemoteError struct {
	Code, Message string
}

func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// SizeError reports a frame above the limit. Both numbers are bytes.
type SizeError struct {
	Size, Limit uint64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// FrameError reports bytes that are no valid frame, or a frame that breaks the protocol.
type FrameError struct {
	Reason string
	Cause  error
}

func (e *FrameError) Error() string {
	if e.Cause == nil {
		return "invalid frame: " + e.Reason
	}
	return fmt.Sprintf("invalid frame: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

// EncodingError reports a message that protobuf cannot encode or decode.
type EncodingError struct {
	Method string
	Cause  error
}

func (e *EncodingError) Error() string { return fmt.Sprintf("message of %s: %v", e.Method, e.Cause) }

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// ClosedError reports use of a closed client or server, or of a closed connection.
type ClosedError struct {
	Resource string
}

func (e *ClosedError) Error() string { return e.Resource + " is closed" }

// DuplicateMethodError is the value of the panic when a method is registered twice, which is a programming error.
type DuplicateMethodError struct {
	Method string
}

func (e *DuplicateMethodError) Error() string { return "rpc method registered twice: " + e.Method }

// NewError returns an error for a handler to answer with; the caller gets it as *RemoteError. The code must not contain
// a colon.
func NewError(code, format string, args ...any) error {
	return merry.WrapSkipping(&RemoteError{Code: code, Message: fmt.Sprintf(format, args...)}, 1)
}

func wrap(err error) error {
	return merry.WrapSkipping(err, 1)
}

// encodeError turns a handler's error into the text of a response header: a code, a colon and a message.
func encodeError(err error) string {
	var remote *RemoteError
	var refusal *apierr.Refusal
	text := CodeInternal + ": " + err.Error()
	switch {
	case errors.As(err, &remote):
		text = remote.Error()
	case errors.As(err, &refusal):
		text = string(refusal.Code) + ": " + refusal.Message
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		text = CodeDeadline + ": " + err.Error()
	}
	if len(text) > maxErrorLength {
		text = text[:maxErrorLength]
	}
	return strings.ToValidUTF8(text, "?")
}

func decodeError(text string) *RemoteError {
	code, message, ok := strings.Cut(text, ": ")
	if !ok || code == "" {
		return &RemoteError{Code: CodeInternal, Message: text}
	}
	return &RemoteError{Code: code, Message: message}
}

// closedIdle reports that this side's idle timer closed the connection between its dial and the request. No back-off is in
// force then, so another connection may be tried at once.
func (e *UnavailableError) closedIdle() bool {
	var closed *ClosedError
	return e.RetryAfter == 0 && errors.As(e.Cause, &closed)
}
