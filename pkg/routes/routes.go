package routes

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done with a request more than once.
type Kind int

// Kinds of requests. Download answers are large and are treated as safe.
const (
	Safe Kind = iota + 1
	Unsafe
	Download
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Download:
		return "download"
	default:
		return fmt.Sprintf("kind(%d)", int(k))
	}
}

// Idempotent reports whether a request may run more than once.
func (k Kind) Idempotent() bool { return k == Safe || k == Download }

// Destination is one destination of a route.
type Destination struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route is where requests with a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// LatencyObjective is the time within which an answer has its full value to the caller.
	LatencyObjective time.Duration
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// MaxSends is how many targets one request may be sent to.
	MaxSends int
	// PermittedRegions are the only regions that may serve the route; empty means all.
	PermittedRegions []string
	Destinations     []Destination
}

// Service is a group of targets that run the same requests.
type Service struct {
	Name string
	// ColdRate is what a cold target tolerates, in requests per second.
	ColdRate float64
	// Exclusive services have one owner for each key.
	Exclusive bool
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody int64
	HeaderTimeout      time.Duration
	IdleTimeout        time.Duration
}

// Configuration is one complete revision.
type Configuration struct {
	Revision uint64
	Limits   Limits
	Routes   []Route
	Services map[string]Service
}

// maxTimeout is the longest timeout that a route may have; the users' interface sets it.
const maxTimeout = 10 * time.Minute

// ValidationError tells why a configuration cannot be used.
type ValidationError struct {
	Route  string
	Reason string
}

// Error implements error.
func (e *ValidationError) Error() string {
	if e.Route == "" {
		return "invalid configuration: " + e.Reason
	}
	return fmt.Sprintf("invalid configuration: route %q: %s", e.Route, e.Reason)
}

// Validate reports the first reason why c cannot be used, as *InvalidError.
func (c *Configuration) Validate() error {
	if c.Revision == 0 {
		return &ValidationError{Reason: "the version is missing"}
	}
	places := map[string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if reason := c.checkRoute(r); reason != "" {
			return &ValidationError{Route: r.Name, Reason: reason}
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			return &ValidationError{Route: r.Name, Reason: fmt.Sprintf("the route %q has the same host and path prefix", other)}
		}
		places[place] = r.Name
	}
	return nil
}

func (c *Configuration) checkRoute(r *Route) string {
	switch {
	case r.Host == "":
		return "the host is empty"
	case !strings.HasPrefix(r.Prefix, "/"):
		return "the path prefix does not begin with a slash"
	case r.Kind < Safe || r.Kind > Download:
		return "the kind is unknown"
	case r.Timeout > maxTimeout:
		return fmt.Sprintf("the timeout is over %v", maxTimeout)
	case r.Timeout <= 0:
		return "the timeout is missing"
	}
	total := 0.0
	for _, part := range r.Destinations {
		if _, ok := c.Services[part.Service]; !ok {
			return fmt.Sprintf("the service %q does not exist", part.Service)
		}
		if part.Weight < 0 {
			return "a weight is negative"
		}
		total += part.Weight
	}
	if total <= 0 {
		return "the weights add up to 0"
	}
	return ""
}

// Table finds routes. It is immutable.
type Table struct {
	Configuration *Configuration
	hosts         map[string][]*Route
}

// Compile prepares a checked configuration for lookups.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: map[string][]*Route{}}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route of host with the longest prefix of path. A port in host is ignored.
func (t *Table) Find(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		routes = t.hosts[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Splitter chooses the parts of routes in proportion to their weights (smooth weighted round robin), so that the shares
// hold over short spans too. It is not safe for concurrent use.
type Splitter struct {
	credit map[string][]float64
}

// NewSplitter returns a splitter that has chosen nothing.
func NewSplitter() *Splitter { return &Splitter{credit: map[string][]float64{}} }

// Choose returns the service for the next request of route. start, from 0 to 1, is where the sequence of a new route
// begins, so that hosts do not all start with the same part.
func (s *Splitter) Choose(route *Route, start float64) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	total := 0.0
	for _, part := range route.Destinations {
		total += part.Weight
	}
	id := route.Host + route.Prefix
	credit := s.credit[id]
	if len(credit) != len(route.Destinations) {
		credit = make([]float64, len(route.Destinations))
		for i, part := range route.Destinations {
			credit[i] = (start - 0.5) * part.Weight
			start = 1 - start
		}
		s.credit[id] = credit
	}
	best := -1
	for i, part := range route.Destinations {
		credit[i] += part.Weight
		if part.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best] -= total
	return route.Destinations[best].Service
}
