package ctl

import (
	"fmt"
	"strings"

	"almondrock.example/almondrock/pkg/config"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// RefusedError tells that files, a change or a request were refused.
type RefusedError struct {
	// Reasons are lines for a person, for problems in files as file:line:column: reason.
	Reasons []string
}

// Error has one reason per line.
func (e *RefusedError) Error() string { return strings.Join(e.Reasons, "\n") }

// refusedFor lists problems as the reasons.
func refusedFor(problems []*schemav1.Problem) *RefusedError {
	refused := &RefusedError{}
	for _, problem := range problems {
		refused.Reasons = append(refused.Reasons, config.FormatProblem(problem))
	}
	return refused
}

// UnreachableError tells that the administration API gave no usable answer.
type UnreachableError struct {
	// Address of the API.
	Address string
	// Reason never contains a key, although a request's URL does.
	Reason string
	// SubmissionID is set when the outcome of that submission is unknown.
	SubmissionID string
	// BasedOn is the revision of that submission. A resend that never arrived before must conflict with changes since.
	BasedOn uint64
}

// Error says how to find out about a submission.
func (e *UnreachableError) Error() string {
	text := "no answer from " + e.Address + ": " + e.Reason
	if e.SubmissionID != "" {
		text += fmt.Sprintf("\nThe outcome of the submission is unknown. Submit the same files with --id %s --based-on %d to learn it.",
			e.SubmissionID, e.BasedOn)
	}
	return text
}

// FileError tells that a file can't be read.
type FileError struct{ Err error }

// Error names the file.
func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the file system.
func (e *FileError) Unwrap() error { return e.Err }

// OutputError tells that results can't be written.
type OutputError struct{ Err error }

// Error implements error.
func (e *OutputError) Error() string { return "can't write the result: " + e.Err.Error() }

// Unwrap returns the error of the stream.
func (e *OutputError) Unwrap() error { return e.Err }
