package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// serviceLimits are the limits that can be set for a service. The others apply to a host or a data centre.
var serviceLimits = map[protoreflect.Name]bool{"max_body_bytes": true, "deadline_ms": true, "max_queue": true}

func (c *checker) checkServices() {
	services := c.configuration.GetServices()
	c.checkRequiredList(len(services), "services", "list at least one service")
	for i, service := range services {
		c.checkService(service, fmt.Sprintf("services[%d]", i))
	}
	c.checkNames("services", namesOf(services))
}

func (c *checker) checkService(service *schemav1.Service, path string) {
	c.checkRequired(service.GetKind() == schemav1.ServiceKind_SERVICE_KIND_UNSPECIFIED, path+".kind", "write kind: exclusive or kind: shared")
	if shards := service.GetShards(); shards != 0 && !isPowerOfTwo(shards) {
		c.add(path+".shards", RulePowerOfTwo, fmt.Sprintf("write shards: %d", nextPowerOfTwo(shards)),
			"%s.shards must be a power of two, not %d", path, shards)
	}
	if service.GetOnPartition() == schemav1.PartitionPolicy_PARTITION_POLICY_MOVE {
		c.add(path+".on_partition", RuleUnsupported, "write on_partition: hold",
			"%s.on_partition: move is not supported in this release", path)
	}
	c.checkHomeRegions(service.GetHomeRegions(), path+".home_regions")
	c.checkLimitFields(service.GetLimits(), path+".limits", serviceLimits)
	c.checkRequiredList(len(service.GetRoutes()), path+".routes", "list at least one route, such as path_prefix: /")
	c.checkRoutes(service, path)
}

func nextPowerOfTwo(n uint32) uint32 {
	power := uint32(1)
	for power < n && power < maxShards {
		power *= 2
	}
	return power
}

func (c *checker) checkRoutes(service *schemav1.Service, path string) {
	first := map[string]int{}
	for i, route := range service.GetRoutes() {
		routePath := fmt.Sprintf("%s.routes[%d]", path, i)
		c.checkRoute(service, route, routePath)
		prefix := cleanPrefix(route.GetPathPrefix())
		if earlier, twice := first[prefix]; twice && route.GetPathPrefix() != "" {
			c.reportDuplicate(routePath+".path_prefix", fmt.Sprintf("%s.routes[%d].path_prefix", path, earlier), route.GetPathPrefix())
			continue
		}
		first[prefix] = i
	}
}

func (c *checker) checkRoute(service *schemav1.Service, route *schemav1.Route, path string) {
	prefix, prefixPath := route.GetPathPrefix(), path+".path_prefix"
	c.checkRequired(prefix == "", prefixPath, "write path_prefix: /PATH")
	hasValue := prefix != "" || (c.isSet(prefixPath) && !c.positions[prefixPath].invalid)
	if reason := invalidPathReason(prefix); hasValue && reason != "" {
		c.add(prefixPath, RuleBadPath, "write a path such as /bookings", "%s %s %s", prefixPath, quote(prefix), reason)
	}
	c.checkRequired(route.GetClass() == schemav1.RequestClass_REQUEST_CLASS_UNSPECIFIED, path+".class",
		"write class: interactive, booking or file")
	c.checkHomeRegions(route.GetHomeRegions(), path+".home_regions")
	c.checkIdempotentMethods(route.GetIdempotentMethods(), path+".idempotent_methods")
	exclusive := service.GetKind() == schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE
	if exclusive && len(route.GetHomeRegions()) > 0 && !route.GetSeparateKeys() {
		c.add(path+".home_regions", RuleSeparateKeys, "write separate_keys: true if keys under this route differ from all others, or remove home_regions",
			"%s.home_regions needs separate_keys: true in an exclusive service, or one key has two owners", path)
	}
}

// checkIdempotentMethods reports names that are not valid HTTP methods, methods that no service accepts, methods that are
// idempotent anyway, and duplicates.
func (c *checker) checkIdempotentMethods(methods []string, path string) {
	for i, method := range methods {
		item := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case !isMethodToken(method) || strings.ToUpper(method) != method:
			c.add(item, RuleBadMethod, "write the method in upper case, such as POST", "%s can't be %s", item, quote(method))
		case isUnsupportedMethod(method):
			c.add(item, RuleBadMethod, "remove it", "%s is refused by every service", method)
		case isIdempotentMethod(method):
			c.add(item, RuleBadMethod, "remove it", "%s is idempotent by RFC 9110 already", method)
		case slices.Contains(methods[:i], method):
			c.add(item, RuleDuplicateName, "remove it", "%s repeats %s", item, quote(method))
		}
	}
}

// checkCommonRegions reports home regions of services, routes and tenants that have no region in common, so that some
// requests could not be served in any region.
func (c *checker) checkCommonRegions() {
	regionSets := c.tenantRegionSets()
	for i, service := range c.configuration.GetServices() {
		serviceRegions := c.knownRegions(service.GetHomeRegions())
		for j, route := range service.GetRoutes() {
			path := fmt.Sprintf("services[%d].routes[%d].home_regions", i, j)
			if _, ok := intersect(serviceRegions, c.knownRegions(route.GetHomeRegions())); !ok {
				c.add(path, RuleNoCommonRegion, "name a region of the service's home_regions",
					"%s has no region in common with service %s", path, quote(service.GetName()))
			}
		}
		for _, set := range regionSets {
			c.checkTenantRegionSet(service, serviceRegions, set)
		}
	}
}

// tenantRegionSet is a set of home regions, with the indexes of the tenants that have it. Tenants are checked by set,
// because thousands of tenants share a few sets and every host checks every revision.
type tenantRegionSet struct {
	regions []string
	tenants []int
}

func (c *checker) tenantRegionSets() []*tenantRegionSet {
	var regionSets []*tenantRegionSet
	byID := map[string]*tenantRegionSet{}
	for i, tenant := range c.configuration.GetTenants() {
		regions := c.knownRegions(tenant.GetHomeRegions())
		slices.Sort(regions)
		id := strings.Join(regions, "+")
		if byID[id] == nil {
			byID[id] = &tenantRegionSet{regions: regions}
			regionSets = append(regionSets, byID[id])
		}
		byID[id].tenants = append(byID[id].tenants, i)
	}
	return regionSets
}

func (c *checker) checkTenantRegionSet(service *schemav1.Service, serviceRegions []string, set *tenantRegionSet) {
	common, ok := intersect(serviceRegions, set.regions)
	if !ok {
		c.reportTenants(set, "service", fmt.Sprintf("service %s", quote(service.GetName())))
		return
	}
	for _, route := range service.GetRoutes() {
		regions := c.knownRegions(route.GetHomeRegions())
		if _, ok := intersect(common, regions); ok {
			continue
		}
		if _, withService := intersect(serviceRegions, regions); withService {
			c.reportTenants(set, "route", fmt.Sprintf("route %s of service %s", quote(route.GetPathPrefix()), quote(service.GetName())))
		}
	}
}

func (c *checker) reportTenants(set *tenantRegionSet, kind, other string) {
	for _, i := range set.tenants {
		path := fmt.Sprintf("tenants[%d].home_regions", i)
		c.add(path, RuleNoCommonRegion, "name a region of the "+kind+"'s home_regions", "%s has no region in common with %s", path, other)
	}
}

// knownRegions returns the names of configured regions among names. Unknown regions are reported elsewhere. If all are
// unknown, the result is empty, which means no restriction.
func (c *checker) knownRegions(names []string) []string {
	var known []string
	for _, name := range names {
		if c.regions[name] {
			known = append(known, name)
		}
	}
	return known
}

// intersect returns the regions that are in both sets, sorted and without duplicates. An empty set means all regions. It
// returns false if neither set is empty and they have no region in common.
func intersect(a, b []string) ([]string, bool) {
	var common []string
	switch {
	case len(a) == 0:
		common = slices.Clone(b)
	case len(b) == 0:
		common = slices.Clone(a)
	default:
		for _, name := range a {
			if slices.Contains(b, name) {
				common = append(common, name)
			}
		}
		if len(common) == 0 {
			return nil, false
		}
	}
	slices.Sort(common)
	return slices.Compact(common), true
}
