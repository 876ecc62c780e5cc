package ctl

import (
	"fmt"
	"strings"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// RefusedError reports that files, a change or a request were refused.
type RefusedError struct {
	// Reasons are lines of text for operators. Those for problems in files have the form file:line:column: reason.
	Reasons []string
}

// Error implements error. It returns one reason per line.
func (e *RefusedError) Error() string { return strings.Join(e.Reasons, "\n") }

// newRefusedError returns an error with the problems as its reasons.
func newRefusedError(problems []*schemav1.Problem) *RefusedError {
	refused := &RefusedError{}
	for _, problem := range problems {
		refused.Reasons = append(refused.Reasons, config.FormatProblem(problem))
	}
	return refused
}

// UnreachableError reports that there was no usable response from the administration API.
type UnreachableError struct {
	// Address of the API.
	Address string
	// Reason must not contain a key, although the URL of a request may.
	Reason string
	// SubmissionID is set if the outcome of that submission is unknown.
	SubmissionID string
	// BasedOn is the revision that the submission is based on. A retry must name it too: if no earlier attempt has arrived, the
	// retry must conflict with revisions accepted in the meantime.
	BasedOn uint64
}

// Error implements error. If the outcome of a submission is unknown, the text says how to find it out.
func (e *UnreachableError) Error() string {
	text := "no answer from " + e.Address + ": " + e.Reason
	if e.SubmissionID != "" {
		text += fmt.Sprintf("\nThe outcome of the submission is unknown. Submit the same files with --id %s --based-on %d to learn it.",
			e.SubmissionID, e.BasedOn)
	}
	return text
}

// FileError reports that a file can't be read.
type FileError struct{ Err error }

// Error implements error. The text contains the name of the file.
func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the file system.
func (e *FileError) Unwrap() error { return e.Err }

// OutputError reports that results can't be written.
type OutputError struct{ Err error }

// Error implements error.
func (e *OutputError) Error() string { return "can't write the result: " + e.Err.Error() }

// Unwrap returns the error of encoding or writing.
func (e *OutputError) Unwrap() error { return e.Err }
