package control

import (
	"fmt"
)

// SnapshotFormatError is returned by Restore for a snapshot in a format that this release cannot read.
type SnapshotFormatError struct {
	// Found is the format of the snapshot, Supported the newest format that this release reads.
	Found, Supported uint32
}

// Error implements error.
func (e *SnapshotFormatError) Error() string {
	return fmt.Sprintf("control snapshot has format %d, this release reads up to %d", e.Found, e.Supported)
}

// CodecError reports that a message of the control group could not be encoded or decoded.
type CodecError struct {
	// Message is the kind of message, for instance "control snapshot".
	Message string
	Err     error
}

// Error implements error.
func (e *CodecError) Error() string {
	return "cannot encode or decode " + e.Message + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Err }
