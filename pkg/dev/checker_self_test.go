package dev

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/standin"
)

// newExecution returns an execution of a POST for key k that takes 10 ms.
func newExecution(target, fence string, at time.Duration) targetExecution {
	return targetExecution{target: target, region: "seoul", Execution: standin.Execution{
		Key: "k", Keyspace: "desk/*", Method: http.MethodPost, Fence: fence, StartedAt: at, RunTime: 10 * time.Millisecond,
	}}
}

// Makes sure that the checker finds each kind of violation, and none in a correct history.
var _ = DescribeTable("The checker finds", func(rule string, o *operation, executions ...targetExecution) {
	o.key = "k"
	violations := checkHistory([]*operation{o}, executions)
	if rule == "" {
		Expect(violations).To(BeEmpty())
		return
	}
	Expect(violations).To(ContainElement(HavePrefix(rule)))
},
	Entry("nothing in a clean move", "", &operation{method: http.MethodGet},
		newExecution("a", "1.1.1", 0), newExecution("b", "1.1.2", 20*time.Millisecond)),
	Entry("an older fence after a newer one", "I1", &operation{method: http.MethodGet},
		newExecution("b", "1.1.2", 0), newExecution("a", "1.1.1", 20*time.Millisecond)),
	Entry("two targets under one fence", "I1", &operation{method: http.MethodGet},
		newExecution("b", "1.1.1", 0), newExecution("a", "1.1.1", 20*time.Millisecond)),
	Entry("overlapping executions at two targets", "I1", &operation{method: http.MethodGet},
		newExecution("a", "1.1.1", 0), newExecution("b", "1.1.2", 5*time.Millisecond)),
	Entry("an execution outside the home regions", "I5", &operation{method: http.MethodGet, tenant: "gown-busan"}, newExecution("a", "1.1.1", 0)),
	Entry("the response to another request", "I6", &operation{method: http.MethodGet, results: []sendResult{
		{status: http.StatusOK, targetResponse: standin.ResponseBody{Key: "other", Method: http.MethodGet}},
	}}, newExecution("a", "1.1.1", 0)),
	Entry("a refusal with not-run although the request ran", "I7", &operation{method: http.MethodPost, results: []sendResult{
		{status: http.StatusServiceUnavailable, refusal: &apierr.Refusal{Code: apierr.Moving, Ran: apierr.NotRun}},
	}}, newExecution("a", "1.1.1", 0)),
	Entry("a second execution", "I8", &operation{method: http.MethodPost}, newExecution("a", "1.1.1", 0), newExecution("a", "1.1.1", 20*time.Millisecond)),
)
