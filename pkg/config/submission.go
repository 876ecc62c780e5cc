package config

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// CheckSubmission merges and checks the files of a submission as a change from current, nil before the first revision.
// It returns either a configuration or problems.
func CheckSubmission(current *schemav1.Configuration, submission *schemav1.Submission) (*schemav1.Configuration, []*schemav1.Problem) {
	base, overlays := SubmissionFiles(submission)
	loaded := LoadFiles(base, overlays)
	if problems := loaded.CheckChange(current); len(problems) > 0 {
		return nil, problems
	}
	return loaded.Configuration, nil
}
