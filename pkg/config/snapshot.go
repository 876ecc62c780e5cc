package config

import (
	"slices"
	"strings"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Resolution holds the settings that apply to a request.
type Resolution struct {
	Service *schemav1.Service
	Route   *schemav1.Route
	// Tenant is the tenant of the request. For a request without a tenant, it is the default tenant, whose name is empty.
	Tenant *schemav1.Tenant
	// Keyspace is the ID of the keyspace that the request's key belongs to.
	Keyspace string
	// HomeRegions are the home regions of the keyspace, sorted; empty means all regions.
	HomeRegions []string
	// Shards is the number of shards of the keyspace.
	Shards uint32
	// Idempotent is set if the method is idempotent by RFC 9110 or the route declares it so. Safe is set if the method is
	// safe by RFC 9110.
	Idempotent, Safe bool
	// Deadline is the longest time that the request may take.
	Deadline time.Duration
	// MaxBodyBytes is the size of the largest request body that is accepted.
	MaxBodyBytes int64
	Class        schemav1.RequestClass
}

// Revision returns the revision number of the configuration.
func (s *Snapshot) Revision() uint64 { return s.configuration.GetRevision() }

// Configuration returns the compiled configuration, with the defaults for shards, weights and on_partition set.
func (s *Snapshot) Configuration() *schemav1.Configuration { return s.configuration }

// Resolve finds the route of a request and returns the settings that apply to it. path is the decoded URL path after
// /SERVICE. The route with the longest prefix that matches whole path segments is chosen. The error is an apierr.Refusal
// with the code UnknownService, UnknownTenant or BadRequest. Resolve does not allocate memory unless it returns an error.
func (s *Snapshot) Resolve(service, tenant, method, path string) (Resolution, error) {
	compiled, ok := s.services[service]
	if !ok {
		return Resolution{}, apierr.New(apierr.UnknownService, "there is no service of this name")
	}
	tenantEntry, ok := s.tenants[tenant]
	if !ok {
		return Resolution{}, apierr.New(apierr.UnknownTenant, "there is no tenant of this name")
	}
	if !isMethodToken(method) || isUnsupportedMethod(method) {
		return Resolution{}, apierr.New(apierr.BadRequest, "the method is not supported")
	}
	if path == "" {
		path = "/"
	}
	if fault := invalidPathReason(path); fault != "" {
		return Resolution{}, apierr.New(apierr.BadRequest, "the path %s", fault)
	}
	route := compiled.route(path)
	if route == nil {
		return Resolution{}, apierr.New(apierr.BadRequest, "service %s has no route for this path", service)
	}
	resolution := route.resolution
	entry := route.byRegionSet[tenantEntry.regionSet]
	resolution.Tenant, resolution.Keyspace, resolution.HomeRegions = tenantEntry.tenant, entry.keyspace, entry.homeRegions
	resolution.Safe = isSafeMethod(method)
	resolution.Idempotent = isIdempotentMethod(method) || slices.Contains(route.methods, method)
	return resolution, nil
}

// route returns the route with the longest prefix that matches whole segments of path, or nil if there is none.
func (c *compiledService) route(path string) *compiledRoute {
	end := len(path)
	if end > c.longestPrefix {
		// No route has a longer prefix than longestPrefix, so start at the last segment boundary up to that length.
		end = strings.LastIndexByte(path[:c.longestPrefix+1], '/')
	}
	for end >= 0 {
		if found, ok := c.routes[path[:end]]; ok {
			return found
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return nil
}

// RegionOf returns the region of a data centre, or "" if there is no such data centre.
func (s *Snapshot) RegionOf(dataCentre string) string { return s.dataCentres[dataCentre].GetRegion() }

// Keyspaces returns the keyspaces that keys of requests can belong to, in the order of the services in the base file.
func (s *Snapshot) Keyspaces() []Keyspace { return s.keyspaces }

// DataCentresFor returns the names of the data centres in the home regions that are in service, which means neither out
// nor lost, in the order of the base file. Empty homeRegions mean all regions.
func (s *Snapshot) DataCentresFor(homeRegions []string) []string {
	var names []string
	for _, dataCentre := range s.configuration.GetDataCentres() {
		isHome := len(homeRegions) == 0 || slices.Contains(homeRegions, dataCentre.GetRegion())
		if isHome && !dataCentre.GetOut() && !dataCentre.GetLost() {
			names = append(names, dataCentre.GetName())
		}
	}
	return names
}

// LimitsAt returns the limits in force at a data centre, with all defaults set. The exception is deadline_ms, which is 0
// unless the base file sets it, because its default depends on the class. Resolve returns the deadline of a request.
func (s *Snapshot) LimitsAt(dataCentre string) *schemav1.Limits {
	base, overrides := s.configuration.GetLimits(), s.dataCentres[dataCentre].GetLimits()
	firstNonZero := func(values ...uint32) uint32 {
		return values[slices.IndexFunc(values, func(value uint32) bool { return value > 0 })]
	}
	maxBody := base.GetMaxBodyBytes()
	if maxBody == 0 {
		maxBody = DefaultMaxBodyBytes
	}
	return &schemav1.Limits{
		MaxHeaderBytes:    firstNonZero(overrides.GetMaxHeaderBytes(), base.GetMaxHeaderBytes(), DefaultMaxHeaderBytes),
		MaxBodyBytes:      maxBody,
		MaxCallers:        firstNonZero(overrides.GetMaxCallers(), base.GetMaxCallers(), DefaultMaxCallers),
		MaxQueue:          firstNonZero(overrides.GetMaxQueue(), base.GetMaxQueue(), DefaultMaxQueue),
		DeadlineMs:        base.GetDeadlineMs(),
		MaxMovesPerMinute: firstNonZero(overrides.GetMaxMovesPerMinute(), base.GetMaxMovesPerMinute(), DefaultMaxMovesPerMinute),
	}
}

// MaxQueueAt returns the largest number of requests of a service that may wait per target at a data centre. The limit of
// the service takes precedence over that of the data centre, and that over the limit in the base file.
func (s *Snapshot) MaxQueueAt(dataCentre, service string) uint32 {
	if compiled, ok := s.services[service]; ok && compiled.service.GetLimits().GetMaxQueue() > 0 {
		return compiled.service.GetLimits().GetMaxQueue()
	}
	return s.LimitsAt(dataCentre).GetMaxQueue()
}

// LinkMbit returns the capacity of a data centre's link to other regions in each direction, in Mbit/s. It returns 0 if the
// files set it neither for the data centre nor for its region.
func (s *Snapshot) LinkMbit(dataCentre string) uint32 {
	found := s.dataCentres[dataCentre]
	if found.GetLinkMbit() > 0 {
		return found.GetLinkMbit()
	}
	return s.regions[found.GetRegion()].GetLinkMbit()
}
