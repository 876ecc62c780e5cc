package loadgen

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
)

// Limits of one run. They prevent a mistyped option from using up all sockets or memory of a machine.
const (
	MaxCount    = 5_000_000
	MaxWorkers  = 2_000
	MaxDuration = 10 * time.Minute
	MaxKeys     = 100_000_000
)

// Options configure a run.
type Options struct {
	// URL is the address with service and path; its host must be a loopback IP address.
	URL string
	// Rate is the mean number of requests per second. The intended send times form a Poisson process.
	Rate float64
	// Duration is how long requests are sent.
	Duration time.Duration
	// Count is the maximum number of requests that are sent; MaxCount when 0.
	Count int
	// Workers is the maximum number of requests in flight. Further requests wait, and their wait counts as latency.
	Workers int
	// Keys is the number of different keys.
	Keys int
	// KeySkew is the exponent of a Zipf distribution over keys, above 1; 0 is uniform.
	KeySkew float64
	// Tenant is sent as Almondrock-Tenant unless empty.
	Tenant string
	// PostShare is the fraction of requests, 0 to 1, that are sent as POST with an Idempotency-Key; the others are GET.
	PostShare float64
	// Deadline is sent as Almondrock-Deadline-Ms; no deadline when 0. A request without a response is cancelled 2 s after it.
	Deadline time.Duration
	// Seed determines send times, keys and methods.
	Seed uint64
}

// OptionError reports an invalid option and why it is invalid.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("option %s: %s", e.Option, e.Reason)
}

// validate returns an OptionError for the first invalid option.
func (o *Options) validate() error {
	if err := checkURL(o.URL); err != nil {
		return err
	}
	for _, bound := range []struct {
		option  string
		invalid bool
		reason  string
	}{
		{"rate", o.Rate <= 0, "must be above 0"},
		{"duration", o.Duration <= 0 || o.Duration > MaxDuration, "must be above 0 and at most 10m"},
		{"count", o.Count < 0 || o.Count > MaxCount, "must be 0 to 5,000,000"},
		{"workers", o.Workers < 1 || o.Workers > MaxWorkers, "must be 1 to 2,000"},
		{"keys", o.Keys < 1 || o.Keys > MaxKeys, "must be 1 to 100,000,000"},
		{"key-skew", o.KeySkew != 0 && o.KeySkew <= 1, "must be 0 or above 1"},
		{"post-share", o.PostShare < 0 || o.PostShare > 1, "must be 0 to 1"},
		{"deadline", o.Deadline < 0, "must not be negative"},
	} {
		if bound.invalid {
			return merry.Wrap(&OptionError{Option: bound.option, Reason: bound.reason})
		}
	}
	return nil
}

// checkURL accepts only IP addresses of the loopback interface, so that no load leaves the machine. Host names are refused,
// because the address that they resolve to can change.
func checkURL(text string) error {
	address, err := url.Parse(text)
	if err != nil || address.Scheme != "http" {
		return merry.Wrap(&OptionError{Option: "url", Reason: "must be an http URL"})
	}
	ip, err := netip.ParseAddr(address.Hostname())
	if err != nil || !ip.IsLoopback() {
		return merry.Wrap(&OptionError{Option: "url", Reason: "must have a loopback IP address as its host"})
	}
	return nil
}
