package control

import (
	"fmt"
)

// FormatError reports a snapshot written by a newer release.
type FormatError struct {
	// Found is the format in the snapshot, Supported the newest one that this release reads.
	Found, Supported uint32
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("control snapshot has format %d, this release reads up to %d", e.Found, e.Supported)
}

// DecodeError reports bytes that are not a message of the control group.
type DecodeError struct {
	// What names the message.
	What string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode " + e.What + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
