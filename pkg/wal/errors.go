package wal

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// CorruptError reports damage that no interrupted write explains.
type CorruptError struct {
	File string
	// Offset is in bytes from the start of the file.
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// VersionError reports a file of a format that this release can't read.
type VersionError struct {
	File                string
	Version, MaxVersion uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("%s has format %d, this release reads up to %d", e.File, e.Version, e.MaxVersion)
}

// IOError reports a failed operation on a file.
type IOError struct {
	Op, File string
	Cause    error
}

func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap returns the cause, for example syscall.ENOSPC.
func (e *IOError) Unwrap() error { return e.Cause }

// LockedError reports that another process has the folder open.
type LockedError struct {
	Dir string
}

func (e *LockedError) Error() string { return e.Dir + " is in use by another process" }

// SequenceError reports arguments of Save that do not follow on what is stored. The log stays usable.
type SequenceError struct {
	Reason string
}

func (e *SequenceError) Error() string { return "out of sequence: " + e.Reason }

// EncodeError reports a message that can't be encoded, or one that is too large. The log stays usable.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return fmt.Sprintf("encode record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// SizeError reports a payload above the limit. Both numbers are bytes.
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

// asIOError leaves the package's own types as they are.
func asIOError(op, file string, err error) error {
	var locked *LockedError
	if errors.As(err, &locked) {
		return err
	}
	return &IOError{Op: op, File: file, Cause: err}
}
