package dev

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/standin"
)

// runOf is a POST of key k that takes 10 ms.
func runOf(target, fence string, at time.Duration) targetRun {
	return targetRun{target: target, region: "seoul", Execution: standin.Execution{
		Key: "k", Keyspace: "desk/*", Method: http.MethodPost, Fence: fence, StartedAt: at, RunTime: 10 * time.Millisecond,
	}}
}

// Guards against a checker that passes everything.
var _ = DescribeTable("The checker finds", func(rule string, o *operation, runs ...targetRun) {
	o.key = "k"
	found := check([]*operation{o}, runs)
	if rule == "" {
		Expect(found).To(BeEmpty())
		return
	}
	Expect(found).To(ContainElement(HavePrefix(rule)))
},
	Entry("nothing in a clean move", "", &operation{method: http.MethodGet},
		runOf("a", "1.1.1", 0), runOf("b", "1.1.2", 20*time.Millisecond)),
	Entry("an older fence after a newer one", "I1", &operation{method: http.MethodGet},
		runOf("b", "1.1.2", 0), runOf("a", "1.1.1", 20*time.Millisecond)),
	Entry("two targets under one fence", "I1", &operation{method: http.MethodGet},
		runOf("b", "1.1.1", 0), runOf("a", "1.1.1", 20*time.Millisecond)),
	Entry("overlapping runs at two targets", "I1", &operation{method: http.MethodGet},
		runOf("a", "1.1.1", 0), runOf("b", "1.1.2", 5*time.Millisecond)),
	Entry("a run outside the home regions", "I5", &operation{method: http.MethodGet, tenant: "gown-busan"}, runOf("a", "1.1.1", 0)),
	Entry("the answer of another request", "I6", &operation{method: http.MethodGet, answers: []reply{
		{status: http.StatusOK, answer: standin.ResponseBody{Key: "other", Method: http.MethodGet}},
	}}, runOf("a", "1.1.1", 0)),
	Entry("an untrue not-run", "I7", &operation{method: http.MethodPost, answers: []reply{
		{status: http.StatusServiceUnavailable, refusal: &apierr.Refusal{Code: apierr.Moving, Ran: apierr.NotRun}},
	}}, runOf("a", "1.1.1", 0)),
	Entry("a second run", "I8", &operation{method: http.MethodPost}, runOf("a", "1.1.1", 0), runOf("a", "1.1.1", 20*time.Millisecond)),
)
