package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Rules are the stable names of the reasons why files are refused.
const (
	RuleSyntax          = "syntax"
	RuleFileSize        = "file-size"
	RuleNesting         = "nesting"
	RuleYAMLFeature     = "yaml-feature"
	RuleUnknownField    = "unknown-field"
	RuleDuplicateField  = "duplicate-field"
	RuleMisplacedField  = "misplaced-field"
	RuleNotInOverlay    = "not-in-overlay"
	RuleMissing         = "missing"
	RuleWrongType       = "wrong-type"
	RuleWrongUnit       = "wrong-unit"
	RuleUnknownValue    = "unknown-value"
	RuleOutOfRange      = "out-of-range"
	RulePowerOfTwo      = "power-of-two"
	RuleBadName         = "bad-name"
	RuleBadPath         = "bad-path"
	RuleBadMethod       = "bad-method"
	RuleDuplicateName   = "duplicate-name"
	RuleUnknownRegion   = "unknown-region"
	RuleEmptyRegion     = "empty-region"
	RuleUnknownSite     = "unknown-site"
	RuleNoCommonRegion  = "no-common-region"
	RuleSeparateKeys    = "separate-keys"
	RuleUnsupported     = "unsupported"
	RuleUnknownAllow    = "unknown-allow"
	RuleDangerousChange = "dangerous-change"
	RuleForbiddenChange = "forbidden-change"
	RuleTooMany         = "too-many"
)

// position is the position of a field in one of the files.
type position struct {
	file string
	// fileIndex orders the files in the report: 0 is the base file, and the overlays follow.
	fileIndex    int
	line, column int
	// invalid is set if the field's value is invalid. The value has been reported and was not decoded.
	invalid bool
}

// positionIndex maps the path of a field, such as services[0].shards, to its position.
type positionIndex map[string]position

// closest returns the position of the field at path or, if it has none, of the innermost enclosing field that has one.
func (p positionIndex) closest(path string) position {
	for {
		if found, ok := p[path]; ok {
			return found
		}
		if path == "" {
			return position{}
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// report collects problems in any order, at most maxProblems and one that says that there are more.
type report struct {
	entries []reportEntry
}

type reportEntry struct {
	at      position
	problem *schemav1.Problem
}

// maxProblems limits the size of a report. A file of 1 MiB can contain half a million mistakes.
const maxProblems = 1000

func (r *report) add(at position, rule, suggestion, format string, args ...any) {
	if len(r.entries) == maxProblems {
		at = position{file: at.file, fileIndex: math.MaxInt}
		rule, suggestion, format, args = RuleTooMany, "correct the others first", "there are more than %d problems", []any{maxProblems}
	}
	if len(r.entries) > maxProblems {
		return
	}
	r.entries = append(r.entries, reportEntry{at: at, problem: &schemav1.Problem{
		File: at.file, Line: uint32(max(0, at.line)), Column: uint32(max(0, at.column)), //nolint:gosec // file size bounds both
		Rule: rule, Message: fmt.Sprintf(format, args...), Suggestion: suggestion,
	}})
}

// sorted returns the problems without duplicates, sorted by file, line, column, rule and message.
func (r *report) sorted() []*schemav1.Problem {
	compare := func(a, b reportEntry) int {
		return cmp.Or(
			cmp.Compare(a.at.fileIndex, b.at.fileIndex), cmp.Compare(a.at.line, b.at.line), cmp.Compare(a.at.column, b.at.column),
			cmp.Compare(a.problem.GetRule(), b.problem.GetRule()), cmp.Compare(a.problem.GetMessage(), b.problem.GetMessage()))
	}
	slices.SortStableFunc(r.entries, compare)
	unique := slices.CompactFunc(r.entries, func(a, b reportEntry) bool { return compare(a, b) == 0 })
	problems := make([]*schemav1.Problem, len(unique))
	for i, entry := range unique {
		problems[i] = entry.problem
	}
	return problems
}

// FormatProblem formats a problem as "file:line:column: message (rule); suggestion". Parts that are unknown are left out.
func FormatProblem(problem *schemav1.Problem) string {
	var text strings.Builder
	if problem.GetFile() != "" {
		text.WriteString(problem.GetFile())
		if problem.GetLine() > 0 {
			fmt.Fprintf(&text, ":%d:%d", problem.GetLine(), problem.GetColumn())
		}
		text.WriteString(": ")
	}
	fmt.Fprintf(&text, "%s (%s)", problem.GetMessage(), problem.GetRule())
	if problem.GetSuggestion() != "" {
		text.WriteString("; " + problem.GetSuggestion())
	}
	return text.String()
}

// ValidationError reports that a configuration is invalid and can't be compiled.
type ValidationError struct {
	// Problems holds all reasons. They have no file and line, only the path of the field in the message.
	Problems []*schemav1.Problem
}

// Error returns a headline and one line per problem.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("the configuration has %d problems", len(e.Problems)))
	for _, problem := range e.Problems {
		lines = append(lines, FormatProblem(problem))
	}
	return strings.Join(lines, "\n")
}
