package control

import (
	"fmt"
)

// SnapshotFormatError reports a snapshot written by a newer release.
type SnapshotFormatError struct {
	// Found is the format in the snapshot, Supported the newest one that this release reads.
	Found, Supported uint32
}

// Error implements error.
func (e *SnapshotFormatError) Error() string {
	return fmt.Sprintf("control snapshot has format %d, this release reads up to %d", e.Found, e.Supported)
}

// CodecError reports bytes that are not a message of the control group.
type CodecError struct {
	// Message names the message.
	Message string
	Err     error
}

// Error implements error.
func (e *CodecError) Error() string { return "decode " + e.Message + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Err }
