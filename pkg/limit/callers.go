package limit

import (
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// DefaultMaxConcurrent is the number of requests that one host serves at once. With buffers of about 64 KiB each, they stay
// within 256 MiB of a small host.
const DefaultMaxConcurrent = 4096

// callerRetryAfter is the pause asked of a caller that a busy host refuses; it is a few times a usual request.
const callerRetryAfter = time.Second

// ConcurrencyLimit bounds the requests that one host serves at once, in all and per tenant. It is safe for concurrent use.
type ConcurrencyLimit struct {
	mu        sync.Mutex
	most      int
	perTenant int
	running   int
	tenants   map[string]int
}

// NewConcurrencyLimit returns a limit of most requests in all (DefaultMaxCallers when 0) and perTenant requests for each
// tenant (no limit of its own when 0).
func NewConcurrencyLimit(most, perTenant int) *ConcurrencyLimit {
	l := &ConcurrencyLimit{tenants: map[string]int{}}
	l.SetLimits(most, perTenant)
	return l
}

// SetLimits changes the limits. Requests that are being served stay.
func (l *ConcurrencyLimit) SetLimits(most, perTenant int) {
	if most <= 0 {
		most = DefaultMaxConcurrent
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.perTenant = most, perTenant
}

// Enter counts a request of tenant until leave is called. It refuses with Overloaded or TenantLimit, not-run.
func (l *ConcurrencyLimit) Enter(tenant string) (leave func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= l.most {
		return nil, callerRefusal(apierr.Overloaded, "the host serves as many requests as it may")
	}
	if l.perTenant > 0 && l.tenants[tenant] >= l.perTenant {
		return nil, callerRefusal(apierr.TenantLimit, "the tenant has as many requests on this host as it may")
	}
	l.running++
	l.tenants[tenant]++
	var once sync.Once
	return func() { once.Do(func() { l.leave(tenant) }) }, nil
}

// Running is the number of requests that are being served.
func (l *ConcurrencyLimit) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

func (l *ConcurrencyLimit) leave(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.tenants[tenant]--
	if l.tenants[tenant] == 0 {
		delete(l.tenants, tenant)
	}
}

func callerRefusal(code apierr.Code, message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: code, Ran: apierr.NotRun, Message: message, RetryAfter: callerRetryAfter})
}
