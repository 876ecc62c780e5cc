package limit

import (
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// DefaultMaxConcurrent is the default limit of requests that one host serves at once. With buffers of about 64 KiB each,
// they take at most 256 MiB, which a small host has.
const DefaultMaxConcurrent = 4096

// concurrencyRetryAfter is the Retry-After of requests over a limit; it is a few times the duration of a typical request.
const concurrencyRetryAfter = time.Second

// ConcurrencyLimit bounds the requests that one host serves at once, in total and per tenant. It is safe for concurrent use.
type ConcurrencyLimit struct {
	mu              sync.Mutex
	maxTotal        int
	maxPerTenant    int
	running         int
	runningByTenant map[string]int
}

// NewConcurrencyLimit returns a limit of maxTotal requests in total (DefaultMaxConcurrent when 0) and maxPerTenant requests
// of each tenant (no limit per tenant when 0).
func NewConcurrencyLimit(maxTotal, maxPerTenant int) *ConcurrencyLimit {
	l := &ConcurrencyLimit{runningByTenant: map[string]int{}}
	l.SetLimits(maxTotal, maxPerTenant)
	return l
}

// SetLimits changes the limits, with the same defaults. Requests that are being served go on.
func (l *ConcurrencyLimit) SetLimits(maxTotal, maxPerTenant int) {
	if maxTotal <= 0 {
		maxTotal = DefaultMaxConcurrent
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxTotal, l.maxPerTenant = maxTotal, maxPerTenant
}

// Enter counts a request of tenant until leave is called; calls of leave after the first do nothing. Over a limit it fails
// with an apierr refusal with ran = not-run: Overloaded for the total, TenantLimit for the tenant.
func (l *ConcurrencyLimit) Enter(tenant string) (leave func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.maxTotal {
		return nil, concurrencyRefusal(apierr.Overloaded, "the host serves as many requests as it may")
	}
	if l.maxPerTenant > 0 && l.runningByTenant[tenant] >= l.maxPerTenant {
		return nil, concurrencyRefusal(apierr.TenantLimit, "the tenant has as many requests on this host as it may")
	}
	l.running++
	l.runningByTenant[tenant]++
	var once sync.Once
	return func() { once.Do(func() { l.leave(tenant) }) }, nil
}

// Running returns the number of requests that are being served.
func (l *ConcurrencyLimit) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

func (l *ConcurrencyLimit) leave(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.runningByTenant[tenant]--
	if l.runningByTenant[tenant] == 0 {
		delete(l.runningByTenant, tenant)
	}
}

func concurrencyRefusal(code apierr.Code, message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: code, Ran: apierr.NotRun, Message: message, RetryAfter: concurrencyRetryAfter})
}
