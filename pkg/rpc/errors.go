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

// Codes of RemoteError that this package uses. Handlers may use others.
const (
	CodeInternal      = "internal"
	CodeDeadline      = "deadline"
	CodeUnknownMethod = "unknown-method"
	CodeBadRequest    = "bad-request"
	CodeTooLarge      = "message-too-large"
)

// maxErrorLength is the maximum length in bytes of the error text in a response header. It makes the text fit into a header
// frame.
const maxErrorLength = 4096

// UnavailableError reports that the request was certainly not sent completely, and therefore did not run.
type UnavailableError struct {
	Address string
	// RetryAfter is the remaining back-off before the next dial. It is zero if a call may try again at once.
	RetryAfter time.Duration
	Cause      error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable, request not sent: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// TimeoutError reports that the context of a call ended before the response arrived, or that the context of
// Server.Shutdown ended before all handlers had returned.
type TimeoutError struct {
	Address, Method string
	// MaybeSent is set if any byte of the request may have been sent. The request may then have run.
	MaybeSent bool
	Cause     error
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no response from %s to %s (maybe sent: %t): %v", e.Address, e.Method, e.MaybeSent, e.Cause)
}

// Unwrap returns the error of the context.
func (e *TimeoutError) Unwrap() error { return e.Cause }

// ConnectionLostError reports that the connection ended after the request was sent and before the response arrived. The
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

// RemoteError is an error that the handler or the server has sent as the response.
type RemoteError struct {
	Code, Message string
}

func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// SizeError reports a frame or message above the limit. Both fields are in bytes.
type SizeError struct {
	Size, Limit uint64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// FrameError reports bytes that are not a valid frame, or a frame that violates the protocol.
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

// EncodingError reports a message that can't be encoded or decoded as protobuf.
type EncodingError struct {
	Method string
	Cause  error
}

func (e *EncodingError) Error() string {
	return fmt.Sprintf("encode or decode message of %s: %v", e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// ClosedError reports use of a closed client, server or connection.
type ClosedError struct {
	// Resource names what is closed, for example "rpc client".
	Resource string
}

func (e *ClosedError) Error() string { return e.Resource + " is closed" }

// DuplicateMethodError is the value with which Register panics if a method is registered twice.
type DuplicateMethodError struct {
	Method string
}

func (e *DuplicateMethodError) Error() string { return "rpc method registered twice: " + e.Method }

// NewError returns an error for a handler to return. The caller receives it as *RemoteError. The code must not contain a
// colon.
func NewError(code, format string, args ...any) error {
	return merry.WrapSkipping(&RemoteError{Code: code, Message: fmt.Sprintf(format, args...)}, 1)
}

func wrap(err error) error {
	return merry.WrapSkipping(err, 1)
}

// encodeError returns the text of a handler's error for a response header: a code, a colon, a space and a message.
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

// decodeError parses the error text of a response header.
func decodeError(text string) *RemoteError {
	code, message, ok := strings.Cut(text, ": ")
	if !ok || code == "" {
		return &RemoteError{Code: CodeInternal, Message: text}
	}
	return &RemoteError{Code: code, Message: message}
}

// closedByIdleTimeout reports whether the idle timeout of this side closed the connection between its dial and the
// request. In this case no back-off is in effect, so another connection may be tried at once.
func (e *UnavailableError) closedByIdleTimeout() bool {
	var closed *ClosedError
	return e.RetryAfter == 0 && errors.As(e.Cause, &closed)
}

// ErrNoMemory reports a message for which the budget of the server has no room.
var ErrNoMemory = merry.Sentinel("no memory for a message")
