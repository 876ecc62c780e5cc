package retry

import (
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// Limits of retries.
const (
	// MaxRetries is the maximum number of attempts after the first one.
	MaxRetries = 2
	// BaseBackOff is the maximum pause before the first retry; it doubles with each further retry up to MaxBackOff.
	BaseBackOff = 10 * time.Millisecond
	MaxBackOff  = 100 * time.Millisecond
)

// FailedAttempt is the input of the retry decision after an attempt failed.
type FailedAttempt struct {
	// Idempotent is set for requests that are idempotent by their method (RFC 9110) or by their route.
	Idempotent bool
	// Ran states whether the target may have run the request.
	Ran apierr.RunStatus
	// ResponseStarted is set when bytes of the response were sent to the caller.
	ResponseStarted bool
	// BodyConsumed is set when the request body can't be sent again.
	BodyConsumed bool
	// Left is the time until the request's deadline.
	Left time.Duration
	// ExpectedLatency is the expected latency of a further attempt; 0 when it isn't known.
	ExpectedLatency time.Duration
	// RetryAfter is the minimum pause that the refusal asks for; 0 when it asks for none.
	RetryAfter time.Duration
	// Retries is the number of attempts after the first one so far.
	Retries int
	// BudgetLeft is the number of retries and hedges that the budget still allows.
	BudgetLeft int
}

// Reason is the reason why a request is sent again or not.
type Reason string

// Reasons of decisions.
const (
	Retry           Reason = "retry"
	ResponseStarted Reason = "answer-started"
	BodyConsumed    Reason = "body-gone"
	MayHaveRun      Reason = "may-have-run"
	TooManyRetries  Reason = "too-many-retries"
	NoTimeLeft      Reason = "no-time-left"
	NoBudget        Reason = "no-budget"
)

// Decision is the result of Decide.
type Decision struct {
	// Retry is set when the request may be sent again.
	Retry bool
	// Wait is the pause before the next attempt.
	Wait   time.Duration
	Reason Reason
}

// Decide decides whether a request is sent again. random must be uniform in [0, 1); it spreads the back-off over its whole
// range (full jitter), so that requests that failed together aren't sent again together. Before it sends, the caller must
// still take the attempt from the budget with Spend, and must not send when that fails.
func Decide(a FailedAttempt, random float64) Decision {
	if reason := a.blockingReason(); reason != "" {
		return Decision{Reason: reason}
	}
	wait := max(backOff(a.Retries, random), a.RetryAfter)
	if wait+a.ExpectedLatency >= a.Left {
		return Decision{Reason: NoTimeLeft}
	}
	if a.BudgetLeft <= 0 {
		return Decision{Reason: NoBudget}
	}
	return Decision{Retry: true, Wait: wait, Reason: Retry}
}

// blockingReason returns a reason that excludes a further attempt regardless of time and budget, or "". A non-idempotent
// request that may have run is never sent again (I8).
func (a FailedAttempt) blockingReason() Reason {
	switch {
	case a.ResponseStarted:
		return ResponseStarted
	case !a.Idempotent && a.Ran != apierr.NotRun:
		return MayHaveRun
	case a.BodyConsumed:
		return BodyConsumed
	case a.Retries >= MaxRetries:
		return TooManyRetries
	default:
		return ""
	}
}

// backOff returns a random pause up to a bound that grows exponentially with the number of retries.
func backOff(retries int, random float64) time.Duration {
	bound := min(BaseBackOff<<retries, MaxBackOff)
	return time.Duration(random * float64(bound))
}
