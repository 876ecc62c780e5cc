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

// Defaults for limits that the files don't set (docs/design.md section 7).
const (
	DefaultMaxHeaderBytes      = 32 << 10
	DefaultMaxBodyBytes        = 8 << 20
	DefaultMaxCallers          = 4000 // requests in progress per host
	DefaultMaxQueue            = 64   // waiting requests per target
	DefaultMaxMovesPerMinute   = 60
	DefaultInteractiveDeadline = 2 * time.Second
	DefaultBookingDeadline     = 10 * time.Second
	DefaultFileDeadline        = 5 * time.Minute
	defaultTenantWeight        = 1
	defaultTenantName          = ""
	defaultTenantRegionSet     = 0
)

// Keyspace is the set of keys of a service that have the same home regions.
type Keyspace struct {
	// ID is the result of keyspace.ID for the service and the home regions.
	ID, Service string
	// HomeRegions are sorted; empty means all regions.
	HomeRegions []string
	// Shards is the number of shards that the keys are distributed over.
	Shards uint32
	// Exclusive is set if the service is exclusive, so that each key has one owner.
	Exclusive bool
}

// Snapshot is a compiled revision of the configuration. It is immutable, and its methods are safe for concurrent use.
// Callers must not modify the values that the methods return.
type Snapshot struct {
	configuration *schemav1.Configuration
	services      map[string]*compiledService
	tenants       map[string]compiledTenant
	keyspaces     []Keyspace
	dataCentres   map[string]*schemav1.DataCentre
	regions       map[string]*schemav1.Region
}

type compiledTenant struct {
	tenant *schemav1.Tenant
	// regionSet is the index of the tenant's set of home regions in compiledRoute.byRegionSet.
	regionSet int
}

type compiledService struct {
	service *schemav1.Service
	// routes maps path prefixes without trailing slash to routes.
	routes map[string]*compiledRoute
	// longestPrefix is the length of the longest prefix.
	longestPrefix int
}

type compiledRoute struct {
	// resolution holds the fields that depend neither on the tenant nor on the method.
	resolution Resolution
	// methods are the methods that the route declares idempotent.
	methods []string
	// byRegionSet holds a keyspace for each distinct set of home regions of tenants.
	byRegionSet []routeKeyspace
}

// routeKeyspace is the keyspace of the requests of one route and one set of home regions of tenants.
type routeKeyspace struct {
	keyspace    string
	homeRegions []string
}

// Compile checks configuration and builds its lookup tables. It checks again because the configuration may come from
// another host, whose release may check less. The error is a *ValidationError.
func Compile(configuration *schemav1.Configuration) (*Snapshot, error) {
	problems := &report{}
	check(configuration, positionIndex{}, problems)
	checkBounds(configuration.ProtoReflect(), "", problems)
	if found := problems.sorted(); len(found) > 0 {
		return nil, merry.Wrap(&ValidationError{Problems: found})
	}
	owned := proto.CloneOf(configuration)
	fillDefaults(owned)
	snapshot := &Snapshot{
		configuration: owned,
		services:      map[string]*compiledService{}, tenants: map[string]compiledTenant{},
		dataCentres: map[string]*schemav1.DataCentre{}, regions: map[string]*schemav1.Region{},
	}
	for _, dataCentre := range owned.GetDataCentres() {
		snapshot.dataCentres[dataCentre.GetName()] = dataCentre
	}
	for _, region := range owned.GetRegions() {
		snapshot.regions[region.GetName()] = region
	}
	regionSets := snapshot.compileTenants()
	for _, service := range owned.GetServices() {
		snapshot.compileService(service, regionSets)
	}
	return snapshot, nil
}

// fillDefaults sets the fields whose defaults are needed to compare revisions and to form keyspaces: weights of tenants,
// shards and on_partition.
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

// checkBounds reports numbers outside fieldBounds. For files, the decoder does this.
func checkBounds(message protoreflect.Message, path string, problems *report) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		name := joinPath(path, string(field.Name()))
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

// compileTenants fills s.tenants and returns the distinct sets of home regions of tenants. The first set, at the index
// defaultTenantRegionSet, is empty and belongs to the default tenant, which requests without a tenant have.
func (s *Snapshot) compileTenants() [][]string {
	regionSets := [][]string{nil}
	regionSetIndex := map[string]int{"": defaultTenantRegionSet}
	s.tenants[defaultTenantName] = compiledTenant{tenant: &schemav1.Tenant{Weight: defaultTenantWeight}}
	for _, tenant := range s.configuration.GetTenants() {
		regions, _ := intersect(tenant.GetHomeRegions(), nil)
		id := strings.Join(regions, "+")
		if _, known := regionSetIndex[id]; !known {
			regionSetIndex[id] = len(regionSets)
			regionSets = append(regionSets, regions)
		}
		s.tenants[tenant.GetName()] = compiledTenant{tenant: tenant, regionSet: regionSetIndex[id]}
	}
	return regionSets
}

func (s *Snapshot) compileService(service *schemav1.Service, regionSets [][]string) {
	compiled := &compiledService{service: service, routes: map[string]*compiledRoute{}}
	byKeyspaceID := map[string]routeKeyspace{}
	for _, route := range service.GetRoutes() {
		prefix := cleanPrefix(route.GetPathPrefix())
		compiled.longestPrefix = max(compiled.longestPrefix, len(prefix))
		compiled.routes[prefix] = s.compileRoute(service, route, regionSets, byKeyspaceID)
	}
	s.services[service.GetName()] = compiled
}

func (s *Snapshot) compileRoute(service *schemav1.Service, route *schemav1.Route, regionSets [][]string, byKeyspaceID map[string]routeKeyspace) *compiledRoute {
	compiled := &compiledRoute{
		methods: slices.Clone(route.GetIdempotentMethods()),
		resolution: Resolution{
			Service: service, Route: route, Shards: service.GetShards(), Class: route.GetClass(),
			Deadline: s.deadline(service, route), MaxBodyBytes: s.maxBody(service, route),
		},
	}
	// check has made sure that the regions intersect.
	routeRegions, _ := intersect(service.GetHomeRegions(), route.GetHomeRegions())
	for _, set := range regionSets {
		home, _ := intersect(routeRegions, set)
		id := keyspace.ID(service.GetName(), home)
		// Routes of a service with the same keyspace share its ID and its home regions in memory.
		entry, known := byKeyspaceID[id]
		if !known {
			entry = routeKeyspace{keyspace: id, homeRegions: home}
			byKeyspaceID[id] = entry
			exclusive := service.GetKind() == schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE
			s.keyspaces = append(s.keyspaces, Keyspace{
				ID: id, Service: service.GetName(), HomeRegions: home, Shards: service.GetShards(), Exclusive: exclusive,
			})
		}
		compiled.byRegionSet = append(compiled.byRegionSet, entry)
	}
	return compiled
}

// deadline returns the deadline of the requests of a route. The most specific setting takes precedence: that of the route,
// the service, the class, the limits of the base file, and then the built-in default of the class.
func (s *Snapshot) deadline(service *schemav1.Service, route *schemav1.Route) time.Duration {
	candidates := []uint32{route.GetDeadlineMs(), service.GetLimits().GetDeadlineMs()}
	for _, class := range s.configuration.GetClasses() {
		if class.GetName() == route.GetClass() {
			candidates = append(candidates, class.GetDeadlineMs())
		}
	}
	for _, milliseconds := range append(candidates, s.configuration.GetLimits().GetDeadlineMs()) {
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

// maxBody returns the largest request body of a route in bytes. The most specific setting takes precedence.
func (s *Snapshot) maxBody(service *schemav1.Service, route *schemav1.Route) int64 {
	candidates := []uint64{route.GetMaxBodyBytes(), service.GetLimits().GetMaxBodyBytes(), s.configuration.GetLimits().GetMaxBodyBytes()}
	for _, size := range candidates {
		if size > 0 {
			return int64(size) //nolint:gosec // bounded by fieldBounds
		}
	}
	return DefaultMaxBodyBytes
}
