package dev

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

// targetRun is a run and where it took place.
type targetRun struct {
	standin.Execution
	target, region string
}

// check returns every violation of an invariant that the history and the targets' own records show.
func check(operations []*operation, runs []targetRun) []string {
	violations := checkOwners(runs)
	byKey := map[string][]targetRun{}
	for _, run := range runs {
		byKey[run.Key] = append(byKey[run.Key], run)
	}
	for _, o := range operations {
		violations = append(violations, checkOperation(o, byKey[o.key])...)
	}
	return violations
}

// checkOwners checks I1 by shard, which is stricter than by key: fences never go back, one fence belongs to one target,
// and a run that changes something has ended before a newer owner starts one.
func checkOwners(runs []targetRun) []string {
	var violations []string
	type shard struct {
		keyspace string
		number   uint32
	}
	byShard := map[shard][]targetRun{}
	for _, run := range runs {
		byShard[shard{run.Keyspace, run.Shard}] = append(byShard[shard{run.Keyspace, run.Shard}], run)
	}
	for unit, list := range byShard {
		slices.SortFunc(list, func(a, b targetRun) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
		newest := list[0]
		var changing targetRun
		for _, run := range list {
			older, _ := target.ParseFence(newest.Fence)
			fence, ok := target.ParseFence(run.Fence)
			order := lease.CompareFences(fence, older)
			switch {
			case !ok:
				violations = append(violations, fmt.Sprintf("I1 %v: run without fence: %+v", unit, run))
			case order < 0:
				violations = append(violations, fmt.Sprintf("I1 %v: older fence after a newer one:\n  %+v\n  %+v", unit, newest, run))
			case order == 0 && run.target != newest.target:
				violations = append(violations, fmt.Sprintf("I1 %v: two targets under one fence:\n  %+v\n  %+v", unit, newest, run))
			}
			if changing.Key != "" && changing.target != run.target && end(changing) > run.StartedAt {
				violations = append(violations, fmt.Sprintf("I1 %v: runs overlap at two targets:\n  %+v\n  %+v", unit, changing, run))
			}
			if order >= 0 {
				newest = run
			}
			if run.Method == http.MethodPost && end(run) > end(changing) {
				changing = run
			}
		}
	}
	return violations
}

// end is when a run ended; a run without end still goes on.
func end(run targetRun) time.Duration {
	if run.Key != "" && run.RunTime == 0 {
		return time.Duration(1<<62 - 1)
	}
	return run.StartedAt + run.RunTime
}

var homes = map[string]string{"hanbok-seoul": "seoul", "gown-busan": "busan"}

func checkOperation(o *operation, runs []targetRun) []string {
	var violations []string
	report := func(rule string) {
		violations = append(violations, fmt.Sprintf("%s: %s %s keyed=%t\n  answers %s\n  runs %+v",
			rule, o.method, o.key, o.keyed, describe(o.answers), runs))
	}
	served, notRun := 0, 0
	for _, answer := range o.answers {
		if answer.refusal != nil && answer.refusal.Ran == apierr.NotRun {
			notRun++
		}
		if !answer.served() {
			continue
		}
		served++
		if a := answer.answer; a.Key != o.key || a.Method != o.method || a.Path != o.path || a.Body != o.body {
			report("I6 the answer is another request's or not whole")
		}
	}
	if o.method == http.MethodPost {
		if len(runs) > 1 {
			report("I8 a non-idempotent request ran more than once")
		}
		if served > 0 && len(runs) != 1 {
			report("I8 an answered request did not run")
		}
	}
	if notRun > 0 && notRun == len(o.answers) && len(runs) > 0 {
		report("I7 a request refused as not-run did run")
	}
	for _, run := range runs {
		if home := homes[o.tenant]; home != "" && run.region != home {
			report("I5 a request ran outside its home regions")
		}
	}
	return violations
}

func describe(answers []reply) string {
	out := ""
	for _, answer := range answers {
		if answer.refusal != nil {
			out += fmt.Sprintf("[%s] ", answer.refusal)
			continue
		}
		out += fmt.Sprintf("[%d %v] ", answer.status, answer.err)
	}
	return out
}
