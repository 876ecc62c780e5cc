package wal

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// CorruptError reports invalid data that can't be the result of an interrupted write.
type CorruptError struct {
	File string
	// Offset is in bytes from the start of the file.
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// VersionError reports a file whose format version is newer than this release supports.
type VersionError struct {
	File                string
	Version, MaxVersion uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, but this release supports versions up to %d", e.File, e.Version, e.MaxVersion)
}

// IOError reports a failed operation on a file.
type IOError struct {
	Op, File string
	Cause    error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap returns the cause, for example syscall.ENOSPC.
func (e *IOError) Unwrap() error { return e.Cause }

// NoSpaceError reports that the disk is full. The log is unchanged and usable; the same call can be made again later.
type NoSpaceError struct {
	File  string
	Cause error
}

func (e *NoSpaceError) Error() string { return fmt.Sprintf("no space for %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *NoSpaceError) Unwrap() error { return e.Cause }

// asNoSpaceError returns err as a *NoSpaceError if a write failed because the disk is full, else nil. A failed sync is no such case,
// because it leaves open what was written.
func asNoSpaceError(err error) error {
	var failed *IOError
	if errors.As(err, &failed) && (failed.Op == opCreate || failed.Op == opWrite) && errors.Is(failed.Cause, syscall.ENOSPC) {
		return wrap(&NoSpaceError{File: failed.File, Cause: failed.Cause})
	}
	return nil
}

// Operations of IOError that change no complete file when they fail.
const (
	opCreate = "create"
	opWrite  = "write"
)

// LockedError reports that another process has the directory open.
type LockedError struct {
	Dir string
}

func (e *LockedError) Error() string { return e.Dir + " is in use by another process" }

// SequenceError reports arguments of Save whose indexes do not continue the stored log, for example a gap before an
// entry or a snapshot older than the stored one. The log stays usable.
type SequenceError struct {
	Reason string
}

func (e *SequenceError) Error() string { return "out of sequence: " + e.Reason }

// EncodeError reports a message that can't be encoded or that is too large. The log stays usable.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return fmt.Sprintf("encode record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// SizeError reports a payload above the limit. Both fields are in bytes.
type SizeError struct {
	Size, Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("payload of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// ClosedError reports use of a closed log.
type ClosedError struct{}

func (e *ClosedError) Error() string { return "log is closed" }

func wrap(err error) error {
	return merry.WrapSkipping(err, 1)
}

// asIOError wraps err in an *IOError, unless it is a *LockedError.
func asIOError(op, file string, err error) error {
	var locked *LockedError
	if errors.As(err, &locked) {
		return err
	}
	return &IOError{Op: op, File: file, Cause: err}
}
