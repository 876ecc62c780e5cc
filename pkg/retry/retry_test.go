package retry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Budget", func() {
	var now time.Duration
	var budget *retry.Budget
	BeforeEach(func() {
		now = time.Hour
		budget = retry.NewBudget(func() time.Duration { return now })
	})

	DescribeTable("allows a tenth of the requests of the last 10 s, but at least 10",
		func(requests, want int) {
			for range requests {
				budget.CountRequest()
			}
			Expect(budget.Left()).To(Equal(want))
			spent := 0
			for budget.Spend() {
				spent++
			}
			Expect(spent).To(Equal(want))
		},
		Entry("no requests", 0, 10), Entry("few requests", 99, 10), Entry("many requests", 2000, 200),
	)

	It("slides, so that old requests pay for no new retries", func() {
		for range 2000 {
			budget.CountRequest()
		}
		now += 9 * time.Second
		Expect(budget.Left()).To(Equal(200))
		now += 2 * time.Second
		Expect(budget.Left()).To(Equal(10))
	})

	It("gives spent attempts back only after 10 s", func() {
		for budget.Spend() {
		}
		now += 9 * time.Second
		Expect(budget.Spend()).To(BeFalse())
		now += 2 * time.Second
		Expect(budget.Spend()).To(BeTrue())
	})
})

var _ = Describe("Decide", func() {
	// The whole space of the yes/no inputs and of the boundaries of the others, against the rules written as a list of
	// conditions that must all hold. A missing rule would run a request twice (I8) or multiply load.
	It("retries exactly when every rule allows it (I6, I8)", func() {
		cases := 0
		for _, idempotent := range []bool{false, true} {
			for _, ran := range []apierr.RunStatus{apierr.NotRun, apierr.RunUnknown, apierr.DidRun, ""} {
				for flags := range 4 {
					for retries := range 4 {
						for budget := range 2 {
							for _, left := range []time.Duration{-1, 0, 15 * time.Millisecond, time.Second} {
								a := retry.FailedAttempt{
									Idempotent: idempotent, Ran: ran, ResponseStarted: flags&1 != 0, BodyConsumed: flags&2 != 0,
									Left: left, ExpectedLatency: 10 * time.Millisecond, Retries: retries, BudgetLeft: budget,
								}
								want := (idempotent || ran == apierr.NotRun) && flags == 0 && retries <= 1 && budget > 0 &&
									left >= 15*time.Millisecond
								Expect(retry.Decide(a, 0).Retry).To(Equal(want), fmt.Sprintf("%+v", a))
								cases++
							}
						}
					}
				}
			}
		}
		Expect(cases).To(Equal(1024))
	})

	DescribeTable("names the reason",
		func(change func(*retry.FailedAttempt), want retry.Reason) {
			a := retry.FailedAttempt{Idempotent: true, Ran: apierr.RunUnknown, Left: time.Second, BudgetLeft: 1}
			change(&a)
			Expect(retry.Decide(a, 0.5).Reason).To(Equal(want))
		},
		Entry("allowed", func(*retry.FailedAttempt) {}, retry.Retry),
		Entry("answer started", func(a *retry.FailedAttempt) { a.ResponseStarted = true }, retry.ResponseStarted),
		Entry("may have run", func(a *retry.FailedAttempt) { a.Idempotent = false }, retry.MayHaveRun),
		Entry("body gone", func(a *retry.FailedAttempt) { a.BodyConsumed = true }, retry.BodyConsumed),
		Entry("retries", func(a *retry.FailedAttempt) { a.Retries = retry.MaxRetries }, retry.TooManyRetries),
		Entry("no time for the back-off", func(a *retry.FailedAttempt) { a.Left = 5 * time.Millisecond }, retry.NoTimeLeft),
		Entry("no time for the answer", func(a *retry.FailedAttempt) { a.ExpectedLatency = time.Second }, retry.NoTimeLeft),
		Entry("no time for Retry-After", func(a *retry.FailedAttempt) { a.RetryAfter = time.Second }, retry.NoTimeLeft),
		Entry("budget", func(a *retry.FailedAttempt) { a.BudgetLeft = 0 }, retry.NoBudget),
	)

	DescribeTable("backs off exponentially with full jitter",
		func(retries int, random float64, want time.Duration) {
			a := retry.FailedAttempt{Idempotent: true, Left: time.Second, BudgetLeft: 1, Retries: retries}
			Expect(retry.Decide(a, random).Wait).To(Equal(want))
		},
		Entry("first, least", 0, 0.0, time.Duration(0)),
		Entry("first", 0, 0.5, 5*time.Millisecond),
		Entry("second", 1, 0.5, 10*time.Millisecond),
	)
})

var _ = Describe("DecideHedge", func() {
	DescribeTable("hedges once, after the 95th percentile, where a second run does no harm (I8)",
		func(change func(*retry.PendingAttempt), send bool, again time.Duration) {
			h := retry.PendingAttempt{
				Shared: true, Idempotent: true, Elapsed: 20 * time.Millisecond, P95: 20 * time.Millisecond,
				Left: time.Second, BudgetLeft: 1, OtherTargets: 1,
			}
			change(&h)
			gotSend, gotAgain := retry.DecideHedge(h)
			Expect(gotSend).To(Equal(send))
			Expect(gotAgain).To(Equal(again))
		},
		Entry("due", func(*retry.PendingAttempt) {}, true, time.Duration(0)),
		Entry("early", func(h *retry.PendingAttempt) { h.Elapsed = 5 * time.Millisecond }, false, 15*time.Millisecond),
		Entry("early, deadline first", func(h *retry.PendingAttempt) { h.Elapsed, h.Left = 0, 9*time.Millisecond }, false, time.Duration(0)),
		Entry("exclusive service", func(h *retry.PendingAttempt) { h.Shared = false }, false, time.Duration(0)),
		Entry("not idempotent", func(h *retry.PendingAttempt) { h.Idempotent = false }, false, time.Duration(0)),
		Entry("answer started", func(h *retry.PendingAttempt) { h.ResponseStarted = true }, false, time.Duration(0)),
		Entry("hedged before", func(h *retry.PendingAttempt) { h.Hedges = 1 }, false, time.Duration(0)),
		Entry("no budget", func(h *retry.PendingAttempt) { h.BudgetLeft = 0 }, false, time.Duration(0)),
		Entry("no other target", func(h *retry.PendingAttempt) { h.OtherTargets = 0 }, false, time.Duration(0)),
		Entry("no percentile yet", func(h *retry.PendingAttempt) { h.P95 = 0 }, false, time.Duration(0)),
		Entry("no time left", func(h *retry.PendingAttempt) { h.Left = 0 }, false, time.Duration(0)),
	)
})

var _ = Describe("Latencies", func() {
	It("bounds the percentile from above by at most an eighth and forgets old samples", func() {
		latencies := &retry.LatencyHistogram{}
		Expect(latencies.Percentile(95)).To(BeZero())
		for i := range 1000 {
			latencies.Observe(time.Duration(i+1) * time.Millisecond)
		}
		Expect(latencies.Percentile(95)).To(And(BeNumerically(">=", 950*time.Millisecond),
			BeNumerically("<=", 950*time.Millisecond*9/8)))
		for range 20000 {
			latencies.Observe(time.Millisecond)
		}
		Expect(latencies.Percentile(95)).To(BeNumerically("<=", 1125*time.Microsecond))
	})
})
