package config

import (
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"almondrock.example/almondrock/pkg/keyspace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Defaults hold where the files state no limit (design section 7).
const (
	DefaultMaxHeaderBytes      = 32 << 10
	DefaultMaxBodyBytes        = 8 << 20
	DefaultMaxCallers          = 4000
	DefaultMaxQueue            = 64
	DefaultMaxMovesPerMinute   = 60
	DefaultInteractiveDeadline = 2 * time.Second
	DefaultBookingDeadline     = 10 * time.Second
	DefaultFileDeadline        = 5 * time.Minute
	defaultTenantWeight        = 1
	defaultTenantName          = ""
	regionsOfDefaultTenantID   = 0
)

// Keyspace is the set of a service's keys with the same home regions.
type Keyspace struct {
	// ID is keyspace.ID of the service and home regions.
	ID, Service string
	// HomeRegions are sorted; empty means all regions.
	HomeRegions []string
	Shards      uint32
	Exclusive   bool
}

// Snapshot is an immutable compiled revision. All methods are safe for concurrent use, and nothing that they return
// may be changed.
type Snapshot struct {
	configuration *schemav1.Configuration
	services      map[string]*compiledService
	tenants       map[string]compiledTenant
	keyspaces     []Keyspace
	sites         map[string]*schemav1.DataCentre
	regions       map[string]*schemav1.Region
}

type compiledTenant struct {
	tenant *schemav1.Tenant
	// regionSet indexes compiledRoute.byRegionSet.
	regionSet int
}

type compiledService struct {
	service *schemav1.Service
	// routes are keyed by prefix without trailing slash.
	routes        map[string]*compiledRoute
	longestPrefix int
}

type compiledRoute struct {
	// resolution holds all that does not depend on the tenant or the method.
	resolution  Resolution
	methods     []string
	byRegionSet []routeRegions
}

type routeRegions struct {
	keyspace    string
	homeRegions []string
}

// Compile checks configuration again, since it may come from another host, and builds its lookup tables. It fails with
// InvalidError.
func Compile(configuration *schemav1.Configuration) (*Snapshot, error) {
	problems := &report{}
	check(configuration, positions{}, problems)
	checkBounds(configuration.ProtoReflect(), "", problems)
	if found := problems.sorted(); len(found) > 0 {
		return nil, merry.Wrap(&ValidationError{Problems: found})
	}
	owned := proto.CloneOf(configuration)
	fillDefaults(owned)
	snapshot := &Snapshot{
		configuration: owned,
		services:      map[string]*compiledService{}, tenants: map[string]compiledTenant{},
		sites: map[string]*schemav1.DataCentre{}, regions: map[string]*schemav1.Region{},
	}
	for _, site := range owned.GetDataCentres() {
		snapshot.sites[site.GetName()] = site
	}
	for _, region := range owned.GetRegions() {
		snapshot.regions[region.GetName()] = region
	}
	sets := snapshot.compileTenants()
	for _, service := range owned.GetServices() {
		snapshot.compileService(service, sets)
	}
	return snapshot, nil
}

// fillDefaults states the defaults that matter for comparing revisions and for keyspaces.
func fillDefaults(configuration *schemav1.Configuration) {
	for _, tenant := range configuration.GetTenants() {
		if tenant.GetWeight() == 0 {
			tenant.Weight = defaultTenantWeight
		}
	}
	for _, service := range configuration.GetServices() {
		if service.GetShards() == 0 {
			service.Shards = keyspace.DefaultShards
		}
		if service.GetOnPartition() == schemav1.PartitionPolicy_PARTITION_POLICY_UNSPECIFIED {
			service.OnPartition = schemav1.PartitionPolicy_PARTITION_POLICY_HOLD
		}
	}
}

// checkBounds refuses numbers that the files could not state.
func checkBounds(message protoreflect.Message, path string, problems *report) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name := join(path, string(field.Name()))
		switch {
		case field.Kind() == protoreflect.MessageKind && field.IsList():
			for i := range value.List().Len() {
				checkBounds(value.List().Get(i).Message(), name, problems)
			}
		case field.Kind() == protoreflect.MessageKind:
			checkBounds(value.Message(), name, problems)
		case field.Kind() == protoreflect.Uint32Kind || field.Kind() == protoreflect.Uint64Kind:
			limits, bounded := fieldBounds[field.Name()]
			if bounded && (value.Uint() < limits.low || value.Uint() > limits.high) {
				problems.add(position{}, RuleOutOfRange, limits.suggestion(), "%s can't be %d", name, value.Uint())
			}
		}
		return true
	})
}

// compileTenants fills the tenants and returns the distinct sets of home regions; the first is the default tenant's.
func (s *Snapshot) compileTenants() [][]string {
	sets := [][]string{nil}
	index := map[string]int{"": regionsOfDefaultTenantID}
	s.tenants[defaultTenantName] = compiledTenant{tenant: &schemav1.Tenant{Weight: defaultTenantWeight}}
	for _, tenant := range s.configuration.GetTenants() {
		regions, _ := intersect(tenant.GetHomeRegions(), nil)
		id := strings.Join(regions, "+")
		if _, known := index[id]; !known {
			index[id] = len(sets)
			sets = append(sets, regions)
		}
		s.tenants[tenant.GetName()] = compiledTenant{tenant: tenant, regionSet: index[id]}
	}
	return sets
}

func (s *Snapshot) compileService(service *schemav1.Service, sets [][]string) {
	compiled := &compiledService{service: service, routes: map[string]*compiledRoute{}}
	seen := map[string]routeRegions{}
	for _, route := range service.GetRoutes() {
		prefix := cleanPrefix(route.GetPathPrefix())
		compiled.longestPrefix = max(compiled.longestPrefix, len(prefix))
		compiled.routes[prefix] = s.compileRoute(service, route, sets, seen)
	}
	s.services[service.GetName()] = compiled
}

func (s *Snapshot) compileRoute(service *schemav1.Service, route *schemav1.Route, sets [][]string, seen map[string]routeRegions) *compiledRoute {
	compiled := &compiledRoute{
		methods: slices.Clone(route.GetIdempotentMethods()),
		resolution: Resolution{
			Service: service, Route: route, Shards: service.GetShards(), Class: route.GetClass(),
			Deadline: s.deadline(service, route), MaxBodyBytes: s.maxBody(service, route),
		},
	}
	// The checks have made sure that the regions have something in common.
	own, _ := intersect(service.GetHomeRegions(), route.GetHomeRegions())
	for _, set := range sets {
		home, _ := intersect(own, set)
		id := keyspace.ID(service.GetName(), home)
		// The routes of a service share the strings and slices of their keyspaces.
		regions, known := seen[id]
		if !known {
			regions = routeRegions{keyspace: id, homeRegions: home}
			seen[id] = regions
			exclusive := service.GetKind() == schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE
			s.keyspaces = append(s.keyspaces, Keyspace{
				ID: id, Service: service.GetName(), HomeRegions: home, Shards: service.GetShards(), Exclusive: exclusive,
			})
		}
		compiled.byRegionSet = append(compiled.byRegionSet, regions)
	}
	return compiled
}

// deadline takes the most specific statement: route, service, class, all services, built-in default of the class.
func (s *Snapshot) deadline(service *schemav1.Service, route *schemav1.Route) time.Duration {
	stated := []uint32{route.GetDeadlineMs(), service.GetLimits().GetDeadlineMs()}
	for _, class := range s.configuration.GetClasses() {
		if class.GetName() == route.GetClass() {
			stated = append(stated, class.GetDeadlineMs())
		}
	}
	for _, milliseconds := range append(stated, s.configuration.GetLimits().GetDeadlineMs()) {
		if milliseconds > 0 {
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	switch route.GetClass() {
	case schemav1.RequestClass_REQUEST_CLASS_BOOKING:
		return DefaultBookingDeadline
	case schemav1.RequestClass_REQUEST_CLASS_FILE:
		return DefaultFileDeadline
	default:
		return DefaultInteractiveDeadline
	}
}

func (s *Snapshot) maxBody(service *schemav1.Service, route *schemav1.Route) int64 {
	stated := []uint64{route.GetMaxBodyBytes(), service.GetLimits().GetMaxBodyBytes(), s.configuration.GetLimits().GetMaxBodyBytes()}
	for _, size := range stated {
		if size > 0 {
			return int64(size) //nolint:gosec // bounded by fieldBounds
		}
	}
	return DefaultMaxBodyBytes
}
