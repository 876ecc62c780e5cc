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

// targetExecution is one execution of a request, with the name of the target and its region.
type targetExecution struct {
	standin.Execution
	target, region string
}

// checkHistory compares what the callers have seen with the executions that the targets have recorded. It returns a
// description of each violation of an invariant.
func checkHistory(operations []*operation, executions []targetExecution) []string {
	violations := checkOwnership(executions)
	byKey := map[string][]targetExecution{}
	for _, execution := range executions {
		byKey[execution.Key] = append(byKey[execution.Key], execution)
	}
	for _, o := range operations {
		violations = append(violations, checkOperation(o, byKey[o.key])...)
	}
	return violations
}

// checkOwnership checks I1 per shard, which is stricter than per key: fences never decrease, one fence belongs to one target,
// and the execution of a POST has ended before another target starts an execution.
func checkOwnership(executions []targetExecution) []string {
	var violations []string
	type shard struct {
		keyspace string
		number   uint32
	}
	byShard := map[shard][]targetExecution{}
	for _, execution := range executions {
		byShard[shard{execution.Keyspace, execution.Shard}] = append(byShard[shard{execution.Keyspace, execution.Shard}], execution)
	}
	for id, list := range byShard {
		slices.SortFunc(list, func(a, b targetExecution) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
		newest := list[0]
		var lastWrite targetExecution
		for _, execution := range list {
			older, _ := target.ParseFence(newest.Fence)
			fence, ok := target.ParseFence(execution.Fence)
			order := lease.CompareFences(fence, older)
			switch {
			case !ok:
				violations = append(violations, fmt.Sprintf("I1 %v: execution without fence: %+v", id, execution))
			case order < 0:
				violations = append(violations, fmt.Sprintf("I1 %v: older fence after a newer one:\n  %+v\n  %+v", id, newest, execution))
			case order == 0 && execution.target != newest.target:
				violations = append(violations, fmt.Sprintf("I1 %v: two targets under one fence:\n  %+v\n  %+v", id, newest, execution))
			}
			if lastWrite.Key != "" && lastWrite.target != execution.target && endTime(lastWrite) > execution.StartedAt {
				violations = append(violations, fmt.Sprintf("I1 %v: executions overlap at two targets:\n  %+v\n  %+v", id, lastWrite, execution))
			}
			if order >= 0 {
				newest = execution
			}
			if execution.Method == http.MethodPost && endTime(execution) > endTime(lastWrite) {
				lastWrite = execution
			}
		}
	}
	return violations
}

// endTime returns when an execution ended. An execution without a run time has not ended.
func endTime(execution targetExecution) time.Duration {
	if execution.Key != "" && execution.RunTime == 0 {
		return time.Duration(1<<62 - 1)
	}
	return execution.StartedAt + execution.RunTime
}

var tenantHomeRegions = map[string]string{"hanbok-seoul": "seoul", "gown-busan": "busan"}

func checkOperation(o *operation, executions []targetExecution) []string {
	var violations []string
	report := func(rule string) {
		violations = append(violations, fmt.Sprintf("%s: %s %s retryable=%t\n  results %s\n  executions %+v",
			rule, o.method, o.key, o.retryable, formatResults(o.results), executions))
	}
	served, notRun := 0, 0
	for _, result := range o.results {
		if result.refusal != nil && result.refusal.Ran == apierr.NotRun {
			notRun++
		}
		if !result.served() {
			continue
		}
		served++
		if a := result.targetResponse; a.Key != o.key || a.Method != o.method || a.Path != o.path || a.Body != o.body {
			report("I6 the response belongs to another request or is incomplete")
		}
	}
	if o.method == http.MethodPost {
		if len(executions) > 1 {
			report("I8 a non-idempotent request ran more than once")
		}
		if served > 0 && len(executions) != 1 {
			report("I8 a request with a response did not run")
		}
	}
	if notRun > 0 && notRun == len(o.results) && len(executions) > 0 {
		report("I7 a request refused as not-run did run")
	}
	for _, execution := range executions {
		if home := tenantHomeRegions[o.tenant]; home != "" && execution.region != home {
			report("I5 a request ran outside its home regions")
		}
	}
	return violations
}

func formatResults(results []sendResult) string {
	out := ""
	for _, result := range results {
		if result.refusal != nil {
			out += fmt.Sprintf("[%s] ", result.refusal)
			continue
		}
		out += fmt.Sprintf("[%d %v] ", result.status, result.err)
	}
	return out
}
