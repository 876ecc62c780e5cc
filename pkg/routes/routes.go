package routes

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind classifies the requests of a route; it determines whether they may be retried.
type Kind int

// Kinds of requests. Downloads have large responses and are retried like safe requests.
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

// Idempotent reports whether a request may run more than once with the same effect.
func (k Kind) Idempotent() bool { return k == Safe || k == Download }

// Destination is one of the weighted services of a route.
type Destination struct {
	Service string
	// Weight is the share of the route's requests, relative to the sum of the weights of its destinations. It may be 0.
	Weight float64
}

// Route maps the requests for a host and a path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Rank is the priority of the route's requests; 0 is the most urgent.
	Rank int
	// LatencyObjective is the time within which a response has its full value to the caller.
	LatencyObjective time.Duration
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// MaxSends is how often one request may be sent to a target, hedges included. Attempts that did not reach a target do
	// not count.
	MaxSends int
	// PermittedRegions are the only regions whose targets may serve the route; empty means all.
	PermittedRegions []string
	// AllowAnonymous is set if the route serves requests without the key of a tenant.
	AllowAnonymous bool
	Destinations   []Destination
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// ColdRate is the rate of requests that a cold target (one that is still warming up) tolerates, in requests per second.
	ColdRate float64
	// ColdPeriod is how long a target stays cold.
	ColdPeriod time.Duration
	// Exclusive is set for a service in which each key is owned by exactly one target.
	Exclusive bool
}

// Limits bound the requests and connections of callers.
type Limits struct {
	// MaxHeader and MaxBody are the largest header and body of a request, in bytes.
	MaxHeader, MaxBody int64
	HeaderTimeout      time.Duration
	IdleTimeout        time.Duration
}

// Configuration is one complete revision of the limits, routes and services.
type Configuration struct {
	Revision uint64
	Limits   Limits
	Routes   []Route
	Services map[string]Service
	// RequiresKeys is set if the configuration has a list of tenants, also an empty one. Requests then need the key of a tenant.
	RequiresKeys bool
	Tenants      []Tenant
}

// maxTimeout is the longest timeout that a route may have; the interface of the platform prescribes it.
const maxTimeout = 10 * time.Minute

// ValidationError reports why a configuration is invalid. Route is empty when the reason does not concern a single route.
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

// Validate returns the first reason why c is invalid as a *ValidationError, or nil.
func (c *Configuration) Validate() error {
	if c.Revision == 0 {
		return &ValidationError{Reason: "the version is missing"}
	}
	routeNames := map[string]string{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if reason := c.checkRoute(r); reason != "" {
			return &ValidationError{Route: r.Name, Reason: reason}
		}
		hostAndPrefix := strings.ToLower(r.Host) + r.Prefix
		if other, ok := routeNames[hostAndPrefix]; ok {
			return &ValidationError{Route: r.Name, Reason: fmt.Sprintf("the route %q has the same host and path prefix", other)}
		}
		routeNames[hostAndPrefix] = r.Name
	}
	return c.checkTenants()
}

// checkRoute returns the reason why r is invalid, or "" when it is valid.
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
	for _, destination := range r.Destinations {
		if _, ok := c.Services[destination.Service]; !ok {
			return fmt.Sprintf("the service %q does not exist", destination.Service)
		}
		if destination.Weight < 0 {
			return "a weight is negative"
		}
		total += destination.Weight
	}
	if total <= 0 {
		return "the weights add up to 0"
	}
	return ""
}

// Table looks up routes by host and path. It is immutable.
type Table struct {
	Configuration *Configuration
	// hosts has the routes of each host (in lower case), with longer path prefixes first.
	hosts map[string][]*Route
	// tenants has the tenant of each key.
	tenants map[string]*Tenant
}

// Compile builds the lookup table of a valid configuration.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, hosts: map[string][]*Route{}, tenants: tenantsByKey(c)}
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

// Find returns the route of host with the longest path prefix that matches path. The case of host and a port in it are
// ignored.
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

// Splitter chooses among the destinations of a route in proportion to their weights. It uses smooth weighted round robin,
// so that the shares also hold over short sequences of requests. It is not safe for concurrent use.
type Splitter struct {
	// currentWeights has the state of the round robin, a weight for each destination, by host and path prefix of the route.
	currentWeights map[string][]float64
}

// NewSplitter returns a splitter without any state.
func NewSplitter() *Splitter { return &Splitter{currentWeights: map[string][]float64{}} }

// Choose returns the service for the next request of route. start, from 0 to 1, is the position at which the sequence of a
// new route begins; hosts pass different positions so that they do not all start with the same destination.
func (s *Splitter) Choose(route *Route, start float64) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	total := 0.0
	for _, destination := range route.Destinations {
		total += destination.Weight
	}
	id := route.Host + route.Prefix
	currentWeights := s.currentWeights[id]
	if len(currentWeights) != len(route.Destinations) {
		currentWeights = make([]float64, len(route.Destinations))
		for i, destination := range route.Destinations {
			currentWeights[i] = (start - 0.5) * destination.Weight
			start = 1 - start
		}
		s.currentWeights[id] = currentWeights
	}
	best := -1
	for i, destination := range route.Destinations {
		currentWeights[i] += destination.Weight
		if destination.Weight > 0 && (best < 0 || currentWeights[i] > currentWeights[best]) {
			best = i
		}
	}
	currentWeights[best] -= total
	return route.Destinations[best].Service
}
