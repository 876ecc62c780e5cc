package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Rules are the stable names of the reasons why a file is refused.
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

// position is a place in one of the files; order is the file's rank in the report.
type position struct {
	file         string
	order        int
	line, column int
	// refused is set when the field's value has been reported and was not decoded.
	refused bool
}

// positions maps the path of a field, such as services[0].shards, to its place.
type positions map[string]position

// near returns the place of path or of its closest enclosing field that has one.
func (p positions) near(path string) position {
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

// report collects problems in any order.
type report struct {
	entries []reportEntry
}

type reportEntry struct {
	at      position
	problem *schemav1.Problem
}

// maxProblems bounds a report; a file of 1 MiB can hold half a million mistakes.
const maxProblems = 1000

func (r *report) add(at position, rule, suggestion, format string, args ...any) {
	if len(r.entries) == maxProblems {
		at = position{file: at.file, order: math.MaxInt}
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

// sorted returns the problems by file, line, column, rule and message, each once.
func (r *report) sorted() []*schemav1.Problem {
	compare := func(a, b reportEntry) int {
		return cmp.Or(
			cmp.Compare(a.at.order, b.at.order), cmp.Compare(a.at.line, b.at.line), cmp.Compare(a.at.column, b.at.column),
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

// FormatProblem writes a problem as file:line:column: reason, with the rule and the suggestion. Position parts that
// are not known are left out.
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

// ValidationError tells that a configuration can't be compiled.
type ValidationError struct {
	// Problems are all reasons, in the order of the files.
	Problems []*schemav1.Problem
}

// Error lists one problem per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("the configuration has %d problems", len(e.Problems)))
	for _, problem := range e.Problems {
		lines = append(lines, FormatProblem(problem))
	}
	return strings.Join(lines, "\n")
}
