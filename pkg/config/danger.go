package config

import (
	"fmt"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Danger is the stable name of a kind of dangerous change. Operators write it in the field "allow" of the base file.
type Danger string

// Dangers that the base file can allow.
const (
	DangerLastDataCentre    Danger = "last-data-centre"
	DangerAllDataCentresOut Danger = "all-data-centres-out"
	DangerDataCentreLost    Danger = "data-centre-lost"
	DangerRemoveDataCentre  Danger = "remove-data-centre"
	DangerRemoveRegion      Danger = "remove-region"
	DangerRemoveService     Danger = "remove-service"
	DangerShardCount        Danger = "shard-count"
)

// Dangers that can't be allowed, because keys would have two owners or leave their home regions until all hosts have the
// new revision. The tenant or service must be removed first, or added with another name; forbiddenDangers has the advice.
const (
	DangerTenantHomeRegions  Danger = "tenant-home-regions"
	DangerServiceHomeRegions Danger = "service-home-regions"
	DangerRouteHomeRegions   Danger = "route-home-regions"
	DangerServiceKind        Danger = "service-kind"
	DangerDataCentreRegion   Danger = "data-centre-region"
)

// allowableDangers maps each danger that can be allowed to its effect, or to advice on how to avoid it.
var allowableDangers = map[Danger]string{
	DangerLastDataCentre:    "requests for its keys are refused",
	DangerAllDataCentresOut: "all requests are refused",
	DangerDataCentreLost:    "its keys get new owners without waiting for the old ones",
	DangerRemoveDataCentre:  "take it out first",
	DangerRemoveRegion:      "no keys can be kept there",
	DangerRemoveService:     "its requests are refused",
	DangerShardCount:        "all its keys are assigned anew",
}

func allowableNames() []string {
	names := make([]string, 0, len(allowableDangers))
	for name := range allowableDangers {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}

// DangerousChange is a change between two revisions that could cause refused requests, or keys with two owners or outside
// their home regions.
type DangerousChange struct {
	Danger Danger
	// Path is the path of the changed field in the new configuration.
	Path string
	// Message describes the change.
	Message string
	// Allowed is set if the danger can be allowed and the new configuration allows it.
	Allowed bool
}

// problem returns the arguments of report.add that describe the change: the position, rule, suggestion and message.
func (d DangerousChange) problem(at position) (position, string, string, string) {
	if effect, allowable := allowableDangers[d.Danger]; allowable {
		return at, RuleDangerousChange, "write allow: [" + string(d.Danger) + "] if this is intended", d.Message + ": " + effect
	}
	return at, RuleForbiddenChange, forbiddenDangers[d.Danger], d.Message + ": the keys would have two owners or leave their home regions while the change spreads"
}

// forbiddenDangers maps each danger that can't be allowed to the suggestion what to do instead.
var forbiddenDangers = map[Danger]string{
	DangerTenantHomeRegions:  "remove the tenant, and add it with its new home regions 60 s later",
	DangerServiceHomeRegions: "add a service with another name, or remove this one first",
	DangerRouteHomeRegions:   "add a route with another path_prefix, or remove this one first",
	DangerServiceKind:        "add a service with another name, or remove this one first",
	DangerDataCentreRegion:   "add a data centre with another name",
}

// CheckChange returns the dangerous changes from old to the loaded configuration that the files don't allow, as problems
// with positions. There are none if old is nil, as it is before the first revision. If the files have problems, it
// returns these instead.
func (l *LoadResult) CheckChange(old *schemav1.Configuration) []*schemav1.Problem {
	if l.Configuration == nil {
		return l.Problems
	}
	problems := &report{}
	for _, change := range FindDangerousChanges(old, l.Configuration) {
		if !change.Allowed {
			at, rule, suggestion, message := change.problem(l.positions.closest(change.Path))
			problems.add(at, rule, suggestion, "%s", message)
		}
	}
	return problems.sorted()
}

// FindDangerousChanges returns the dangerous changes from old to next, allowed or not, in a fixed order. It returns none
// if either is nil.
func FindDangerousChanges(old, next *schemav1.Configuration) []DangerousChange {
	if old == nil || next == nil {
		return nil
	}
	c := &changeChecker{old: old, next: next}
	c.checkDataCentres()
	c.checkRegions()
	c.checkTenants()
	c.checkServices()
	for i := range c.dangerousChanges {
		_, allowable := allowableDangers[c.dangerousChanges[i].Danger]
		c.dangerousChanges[i].Allowed = allowable && slices.Contains(next.GetAllow(), string(c.dangerousChanges[i].Danger))
	}
	return c.dangerousChanges
}

// changeChecker compares two configurations and collects the dangerous changes.
type changeChecker struct {
	old, next        *schemav1.Configuration
	dangerousChanges []DangerousChange
}

func (c *changeChecker) add(danger Danger, path, format string, args ...any) {
	c.dangerousChanges = append(c.dangerousChanges, DangerousChange{Danger: danger, Path: path, Message: fmt.Sprintf(format, args...)})
}

type named interface{ GetName() string }

// indexByName returns the elements of a list by name.
func indexByName[T named](list []T) map[string]T {
	byName := make(map[string]T, len(list))
	for _, element := range list {
		byName[element.GetName()] = element
	}
	return byName
}

func isInService(dataCentre *schemav1.DataCentre) bool {
	return dataCentre != nil && !dataCentre.GetOut() && !dataCentre.GetLost()
}

func (c *changeChecker) checkDataCentres() {
	old, next := indexByName(c.old.GetDataCentres()), indexByName(c.next.GetDataCentres())
	for i, dataCentre := range c.next.GetDataCentres() {
		path := fmt.Sprintf("data_centres[%d]", i)
		before, existed := old[dataCentre.GetName()]
		if existed && before.GetRegion() != dataCentre.GetRegion() {
			c.add(DangerDataCentreRegion, path+".region", "data centre %s moves to region %s", dataCentre.GetName(), dataCentre.GetRegion())
		}
		if existed && dataCentre.GetLost() && !before.GetLost() {
			c.add(DangerDataCentreLost, path+".lost", "data centre %s is declared lost", dataCentre.GetName())
		}
	}
	for _, dataCentre := range c.old.GetDataCentres() {
		if next[dataCentre.GetName()] == nil && isInService(dataCentre) {
			c.add(DangerRemoveDataCentre, "data_centres", "data centre %s is removed while in service", dataCentre.GetName())
		}
	}
	if len(dataCentresInService(c.next, "")) == 0 && len(dataCentresInService(c.old, "")) > 0 {
		c.add(DangerAllDataCentresOut, "data_centres", "all data centres are out")
	}
}

// dataCentresInService returns the data centres in service of a region, or of all regions if region is "".
func dataCentresInService(configuration *schemav1.Configuration, region string) []*schemav1.DataCentre {
	var dataCentres []*schemav1.DataCentre
	for _, dataCentre := range configuration.GetDataCentres() {
		if isInService(dataCentre) && (region == "" || dataCentre.GetRegion() == region) {
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	return dataCentres
}

func (c *changeChecker) checkRegions() {
	homes, next := homeRegionsInUse(c.next), indexByName(c.next.GetRegions())
	for _, region := range c.old.GetRegions() {
		name := region.GetName()
		if next[name] == nil {
			c.add(DangerRemoveRegion, "regions", "region %s is removed", name)
			continue
		}
		before := dataCentresInService(c.old, name)
		if homes[name] && len(before) > 0 && len(dataCentresInService(c.next, name)) == 0 {
			c.add(DangerLastDataCentre, c.outOfServicePath(before), "home region %s has no data centre left in service", name)
		}
	}
}

// outOfServicePath returns the path of the field that takes the first of the given data centres out of service, or
// "data_centres" if none of them is in the new configuration.
func (c *changeChecker) outOfServicePath(before []*schemav1.DataCentre) string {
	old := indexByName(before)
	for i, dataCentre := range c.next.GetDataCentres() {
		switch {
		case old[dataCentre.GetName()] == nil:
		case dataCentre.GetLost():
			return fmt.Sprintf("data_centres[%d].lost", i)
		case dataCentre.GetOut():
			return fmt.Sprintf("data_centres[%d].out", i)
		}
	}
	return "data_centres"
}

func homeRegionsInUse(configuration *schemav1.Configuration) map[string]bool {
	used := map[string]bool{}
	add := func(names []string) {
		for _, name := range names {
			used[name] = true
		}
	}
	for _, tenant := range configuration.GetTenants() {
		add(tenant.GetHomeRegions())
	}
	for _, service := range configuration.GetServices() {
		add(service.GetHomeRegions())
		for _, route := range service.GetRoutes() {
			add(route.GetHomeRegions())
		}
	}
	return used
}
