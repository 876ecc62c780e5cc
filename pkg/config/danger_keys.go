package config

import (
	"fmt"
	"slices"
	"strings"

	"almondrock.example/almondrock/pkg/keyspace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// A key's keyspace follows from the home regions of its tenant, service and route. Hosts take over a revision at
// different times, so a key whose keyspace changes in place would have one owner per revision (I1).

func (c *change) tenants() {
	old := indexOf(c.old.GetTenants())
	for i, tenant := range c.next.GetTenants() {
		before, existed := old[tenant.GetName()]
		if existed && !sameRegions(before.GetHomeRegions(), tenant.GetHomeRegions()) {
			c.add(DangerTenantHomeRegions, fmt.Sprintf("tenants[%d].home_regions", i),
				"tenant %s changes its home regions from %s to %s", tenant.GetName(),
				regionText(before.GetHomeRegions()), regionText(tenant.GetHomeRegions()))
		}
	}
}

func (c *change) services() {
	old, next := indexOf(c.old.GetServices()), indexOf(c.next.GetServices())
	for _, service := range c.old.GetServices() {
		if next[service.GetName()] == nil {
			c.add(DangerRemoveService, "services", "service %s is removed", service.GetName())
		}
	}
	for i, service := range c.next.GetServices() {
		if before := old[service.GetName()]; before != nil {
			c.service(before, service, fmt.Sprintf("services[%d]", i))
		}
	}
}

func (c *change) service(before, after *schemav1.Service, path string) {
	if before.GetKind() != after.GetKind() {
		c.add(DangerServiceKind, path+".kind", "service %s changes its kind", after.GetName())
		return
	}
	if after.GetKind() != schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE {
		return
	}
	if shardsOf(before) != shardsOf(after) {
		c.add(DangerShardCount, path+".shards", "service %s changes from %d to %d shards", after.GetName(), shardsOf(before), shardsOf(after))
	}
	if !sameRegions(before.GetHomeRegions(), after.GetHomeRegions()) {
		c.add(DangerServiceHomeRegions, path+".home_regions", "service %s changes its home regions from %s to %s", after.GetName(),
			regionText(before.GetHomeRegions()), regionText(after.GetHomeRegions()))
		return
	}
	c.routes(before, after, path)
}

// routes compares the home regions in force under every prefix of either revision, since a new or removed route also
// changes those of the paths under it.
func (c *change) routes(before, after *schemav1.Service, path string) {
	for _, prefix := range prefixesOf(before, after) {
		old, oldAt := routeFor(before, prefix)
		next, nextAt := routeFor(after, prefix)
		if oldAt < 0 || nextAt < 0 || sameRegions(old.GetHomeRegions(), next.GetHomeRegions()) {
			continue
		}
		c.add(DangerRouteHomeRegions, fmt.Sprintf("%s.routes[%d].home_regions", path, nextAt),
			"the home regions of service %s under %s change from %s to %s", after.GetName(), prefix+"/",
			regionText(old.GetHomeRegions()), regionText(next.GetHomeRegions()))
	}
}

func prefixesOf(services ...*schemav1.Service) []string {
	var prefixes []string
	for _, service := range services {
		for _, route := range service.GetRoutes() {
			prefixes = append(prefixes, cleanPrefix(route.GetPathPrefix()))
		}
	}
	slices.Sort(prefixes)
	return slices.Compact(prefixes)
}

// routeFor returns the route in force for the path prefix, which has no trailing slash, and its index.
func routeFor(service *schemav1.Service, prefix string) (*schemav1.Route, int) {
	best, bestLength := -1, -1
	for i, route := range service.GetRoutes() {
		candidate := cleanPrefix(route.GetPathPrefix())
		if (prefix == candidate || strings.HasPrefix(prefix, candidate+"/")) && len(candidate) > bestLength {
			best, bestLength = i, len(candidate)
		}
	}
	if best < 0 {
		return nil, -1
	}
	return service.GetRoutes()[best], best
}

func shardsOf(service *schemav1.Service) uint32 {
	if service.GetShards() == 0 {
		return keyspace.DefaultShards
	}
	return service.GetShards()
}

func sameRegions(a, b []string) bool {
	sortedA, _ := intersect(a, nil)
	sortedB, _ := intersect(b, nil)
	return slices.Equal(sortedA, sortedB)
}

func regionText(regions []string) string {
	if len(regions) == 0 {
		return "all regions"
	}
	return strings.Join(regions, ", ")
}
