package retry

import (
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// Limits of extra attempts.
const (
	// MaxRetries is the number of attempts after the first one.
	MaxRetries = 2
	// BaseBackOff is the longest pause before the first retry; it doubles with each further one up to MaxBackOff.
	BaseBackOff = 10 * time.Millisecond
	MaxBackOff  = 100 * time.Millisecond
)

// FailedAttempt is what is known after an attempt failed.
type FailedAttempt struct {
	// Idempotent is set by the method (RFC 9110) or by the route.
	Idempotent bool
	// Ran tells whether the target may have run the request.
	Ran apierr.RunStatus
	// ResponseStarted is set when bytes of the answer were sent to the caller.
	ResponseStarted bool
	// BodyConsumed is set when the request body can't be sent again.
	BodyConsumed bool
	// Left is the time until the request's deadline.
	Left time.Duration
	// ExpectedLatency is the time that a further attempt takes as a rule; 0 when it isn't known.
	ExpectedLatency time.Duration
	// RetryAfter is the least pause that the refusal asks for; 0 when it asks for none.
	RetryAfter time.Duration
	// Retries counts the attempts after the first one so far.
	Retries int
	// BudgetLeft is the number of extra attempts that the budget still allows.
	BudgetLeft int
}

// Reason tells why a request is sent again or not.
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

// Decision is whether and when a request is sent again.
type Decision struct {
	Retry bool
	// Wait is the pause before the next attempt.
	Wait   time.Duration
	Reason Reason
}

// Decide decides on a further attempt. random is uniform in [0, 1) and spreads the back-off over its whole range, so
// that requests that failed together don't return together. The caller must still Spend from the budget and must not
// send when that fails.
func Decide(a FailedAttempt, random float64) Decision {
	if reason := a.obstacle(); reason != "" {
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

// obstacle is the reason that rules out a further attempt at any time, or empty. A non-idempotent request that may have
// run is never sent again (I8).
func (a FailedAttempt) obstacle() Reason {
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

// backOff is a random pause up to an exponentially growing bound.
func backOff(retries int, random float64) time.Duration {
	bound := min(BaseBackOff<<retries, MaxBackOff)
	return time.Duration(random * float64(bound))
}
