package config

import (
	"slices"
	"strings"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Resolution is what the configuration says about one request.
type Resolution struct {
	Service *schemav1.Service
	Route   *schemav1.Route
	// Tenant is the default tenant, with an empty name, for a request without a tenant.
	Tenant *schemav1.Tenant
	// Keyspace is the id of the keyspace that the request's key belongs to.
	Keyspace string
	// HomeRegions are sorted; empty means all regions.
	HomeRegions []string
	Shards      uint32
	// Idempotent holds by method (RFC 9110) or because the route says so; Safe holds by method.
	Idempotent, Safe bool
	// Deadline is the longest time that the request may take.
	Deadline time.Duration
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	Class        schemav1.RequestClass
}

// Revision is the revision number of the configuration.
func (s *Snapshot) Revision() uint64 { return s.configuration.GetRevision() }

// Configuration is the compiled configuration with its defaults for shards and weights filled in.
func (s *Snapshot) Configuration() *schemav1.Configuration { return s.configuration }

// Resolve finds the route of a request. path is the decoded URL path after /SERVICE; the longest route prefix that ends
// at a segment boundary wins. It refuses with unknown-service, unknown-tenant or bad-request. It does not allocate
// unless it refuses.
func (s *Snapshot) Resolve(service, tenant, method, path string) (Resolution, error) {
	compiled, ok := s.services[service]
	if !ok {
		return Resolution{}, apierr.New(apierr.UnknownService, "there is no service of this name")
	}
	owner, ok := s.tenants[tenant]
	if !ok {
		return Resolution{}, apierr.New(apierr.UnknownTenant, "there is no tenant of this name")
	}
	if !isMethodToken(method) || isRefusedMethod(method) {
		return Resolution{}, apierr.New(apierr.BadRequest, "the method is not supported")
	}
	if path == "" {
		path = "/"
	}
	if fault := pathFault(path); fault != "" {
		return Resolution{}, apierr.New(apierr.BadRequest, "the path %s", fault)
	}
	route := compiled.route(path)
	if route == nil {
		return Resolution{}, apierr.New(apierr.BadRequest, "service %s has no route for this path", service)
	}
	resolution := route.resolution
	regions := route.byRegionSet[owner.regionSet]
	resolution.Tenant, resolution.Keyspace, resolution.HomeRegions = owner.tenant, regions.keyspace, regions.homeRegions
	resolution.Safe = isSafeMethod(method)
	resolution.Idempotent = isIdempotentMethod(method) || slices.Contains(route.methods, method)
	return resolution, nil
}

// route tries the prefixes of path that end at a segment boundary, the longest first.
func (c *compiledService) route(path string) *compiledRoute {
	end := len(path)
	if end > c.longestPrefix {
		// A longer prefix can't be a route; the last boundary up to the longest one is the first to try.
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
func (s *Snapshot) RegionOf(dataCentre string) string { return s.sites[dataCentre].GetRegion() }

// Keyspaces returns all keyspaces in use, in the order of the services in the base file.
func (s *Snapshot) Keyspaces() []Keyspace { return s.keyspaces }

// DataCentresFor returns the names of the data centres in the home regions that are not out or lost, in the order of
// the base file. No home regions means all regions.
func (s *Snapshot) DataCentresFor(homeRegions []string) []string {
	var names []string
	for _, site := range s.configuration.GetDataCentres() {
		isHome := len(homeRegions) == 0 || slices.Contains(homeRegions, site.GetRegion())
		if isHome && !site.GetOut() && !site.GetLost() {
			names = append(names, site.GetName())
		}
	}
	return names
}

// LimitsAt returns the limits in force at a data centre with all defaults filled in. deadline_ms stays 0 unless the
// base file sets it, because its default depends on the class; Resolve gives the deadline of a request.
func (s *Snapshot) LimitsAt(dataCentre string) *schemav1.Limits {
	base, site := s.configuration.GetLimits(), s.sites[dataCentre].GetLimits()
	pick := func(stated ...uint32) uint32 {
		return stated[slices.IndexFunc(stated, func(value uint32) bool { return value > 0 })]
	}
	maxBody := base.GetMaxBodyBytes()
	if maxBody == 0 {
		maxBody = DefaultMaxBodyBytes
	}
	return &schemav1.Limits{
		MaxHeaderBytes:    pick(site.GetMaxHeaderBytes(), base.GetMaxHeaderBytes(), DefaultMaxHeaderBytes),
		MaxBodyBytes:      maxBody,
		MaxCallers:        pick(site.GetMaxCallers(), base.GetMaxCallers(), DefaultMaxCallers),
		MaxQueue:          pick(site.GetMaxQueue(), base.GetMaxQueue(), DefaultMaxQueue),
		DeadlineMs:        base.GetDeadlineMs(),
		MaxMovesPerMinute: pick(site.GetMaxMovesPerMinute(), base.GetMaxMovesPerMinute(), DefaultMaxMovesPerMinute),
	}
}

// MaxQueueAt returns the limit of waiting requests per target of a service: the service's, the site's or the base's.
func (s *Snapshot) MaxQueueAt(dataCentre, service string) uint32 {
	if compiled, ok := s.services[service]; ok && compiled.service.GetLimits().GetMaxQueue() > 0 {
		return compiled.service.GetLimits().GetMaxQueue()
	}
	return s.LimitsAt(dataCentre).GetMaxQueue()
}

// LinkMbit returns the capacity of a data centre's link to other regions, each way, in Mbit/s; 0 when not stated.
func (s *Snapshot) LinkMbit(dataCentre string) uint32 {
	site := s.sites[dataCentre]
	if site.GetLinkMbit() > 0 {
		return site.GetLinkMbit()
	}
	return s.regions[site.GetRegion()].GetLinkMbit()
}
