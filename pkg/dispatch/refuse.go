package dispatch

import "time"

// RecordRequest counts a new request of a service, from which further sends are paid.
func (c *Dispatcher) RecordRequest(now time.Duration, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name)
	s.budget.fill(now, 0, c.budgetSize())
	s.budget.level = min(c.budgetSize(), s.budget.level+c.options.RetryRatio*budgetShare)
}

// budgetShare is the part of the budget for further sends that is used; the rest covers hosts that count differently.
const budgetShare = 0.92

// budgetSize is this host's part of the slack. The smallest size lets a host with few requests send one again.
func (c *Dispatcher) budgetSize() float64 {
	return max(1, c.options.RetrySlack*budgetShare/float64(c.hosts))
}

// TakeRetry takes one further send of a request from the budget of the service.
func (c *Dispatcher) TakeRetry(now time.Duration, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.service(name).budget.take(now, 0, c.budgetSize())
}

// RetryAfter is when a request that was refused for reason may find room.
func (c *Dispatcher) RetryAfter(route string, reason Reason) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch reason {
	case ReasonBusy, ReasonLate:
		return min(max(c.base(route), retryAfterLeast), retryAfterMost)
	case ReasonRefused:
		// Targets that shed refuse each request by itself, so that coming back soon has as good a chance.
		return retryAfterShed
	case ReasonColdOnly, ReasonUnreachable:
		return backOffFirst * 2
	default:
		return retryAfterMost
	}
}

// Bounds of the time that a refused caller is told to wait.
const (
	retryAfterLeast = 100 * time.Millisecond
	retryAfterShed  = 20 * time.Millisecond
	retryAfterMost  = time.Second
)
