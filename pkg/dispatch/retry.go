package dispatch

import "time"

// RecordRequest counts a new request of a service and adds its share to the retry budget of the service.
func (d *Dispatcher) RecordRequest(now time.Duration, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(name)
	s.retryBudget.fill(now, 0, d.retryBudgetSize())
	s.retryBudget.level = min(d.retryBudgetSize(), s.retryBudget.level+d.options.RetryRatio*retryBudgetShare)
}

// retryBudgetShare is the fraction of the allowed retries that is used. The rest covers hosts that count requests differently.
const retryBudgetShare = 0.92

// retryBudgetSize returns the maximum number of retries that this host may save up: its share of the slack, but at least 1, so that a
// host with few requests can send a retry.
func (d *Dispatcher) retryBudgetSize() float64 {
	return max(1, d.options.RetrySlack*retryBudgetShare/float64(d.hostCount))
}

// TakeRetry takes one retry from the budget of a service. It returns false if the budget is used up.
func (d *Dispatcher) TakeRetry(now time.Duration, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(name).retryBudget.take(now, 0, d.retryBudgetSize())
}

// RetryAfter returns the time after which the caller of a request that was refused for reason should retry.
func (d *Dispatcher) RetryAfter(route string, reason Reason) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch reason {
	case ReasonBusy, ReasonLate:
		return min(max(d.base(route), minRetryAfter), maxRetryAfter)
	case ReasonRefused, ReasonPaused:
		// Targets that shed load decide on each request separately, so an early retry has the same chance as a later one. If all targets
		// pause, PauseLeft tells the time.
		return shedRetryAfter
	case ReasonColdOnly, ReasonUnreachable:
		return minBackOff * 2
	default:
		return maxRetryAfter
	}
}

// Waiting times that are sent to the callers of refused requests: the bounds, and the time after a refusal by the targets.
const (
	minRetryAfter  = 100 * time.Millisecond
	shedRetryAfter = 20 * time.Millisecond
	maxRetryAfter  = time.Second
)
