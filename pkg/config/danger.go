package config

import (
	"fmt"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Danger is the stable name of a dangerous change.
type Danger string

// Dangers that a file may allow by name.
const (
	DangerLastDataCentre    Danger = "last-data-centre"
	DangerAllDataCentresOut Danger = "all-data-centres-out"
	DangerDataCentreLost    Danger = "data-centre-lost"
	DangerRemoveDataCentre  Danger = "remove-data-centre"
	DangerRemoveRegion      Danger = "remove-region"
	DangerRemoveService     Danger = "remove-service"
	DangerShardCount        Danger = "shard-count"
)

// Dangers that no file can allow, because keys would have two owners or leave their home regions while the change
// spreads: the tenant or service must be removed first.
const (
	DangerTenantHomeRegions  Danger = "tenant-home-regions"
	DangerServiceHomeRegions Danger = "service-home-regions"
	DangerRouteHomeRegions   Danger = "route-home-regions"
	DangerServiceKind        Danger = "service-kind"
	DangerDataCentreRegion   Danger = "data-centre-region"
)

// allowable maps each danger that can be allowed to what it does.
var allowable = map[Danger]string{
	DangerLastDataCentre:    "requests for its keys are refused",
	DangerAllDataCentresOut: "all requests are refused",
	DangerDataCentreLost:    "its keys get new owners without waiting for the old ones",
	DangerRemoveDataCentre:  "take it out first",
	DangerRemoveRegion:      "no keys can be kept there",
	DangerRemoveService:     "its requests are refused",
	DangerShardCount:        "all its keys are assigned anew",
}

func allowNames() []string {
	names := make([]string, 0, len(allowable))
	for name := range allowable {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}

// DangerousChange is one dangerous part of a change.
type DangerousChange struct {
	Danger Danger
	// Path is the field of the new configuration where the danger lies.
	Path string
	// Message says what changes.
	Message string
	// Allowed is set when the new configuration allows the danger by name.
	Allowed bool
}

// problem tells why the finding refuses the change.
func (f DangerousChange) problem(at position) (position, string, string, string) {
	if effect, can := allowable[f.Danger]; can {
		return at, RuleDangerousChange, "write allow: [" + string(f.Danger) + "] if this is intended", f.Message + ": " + effect
	}
	return at, RuleForbiddenChange, forbidden[f.Danger], f.Message + ": the keys would have two owners or leave their home regions while the change spreads"
}

// forbidden maps each danger that can't be allowed to what to do instead.
var forbidden = map[Danger]string{
	DangerTenantHomeRegions:  "remove the tenant, and add it with its new home regions 60 s later",
	DangerServiceHomeRegions: "add a service with another name, or remove this one first",
	DangerRouteHomeRegions:   "add a route with another path_prefix, or remove this one first",
	DangerServiceKind:        "add a service with another name, or remove this one first",
	DangerDataCentreRegion:   "add a data centre with another name",
}

// CheckChange returns the dangers of a change from old that the loaded files don't allow, with their places. An old
// configuration of nil, before the first revision, has no dangers. It returns Problems if the files have any.
func (l *LoadResult) CheckChange(old *schemav1.Configuration) []*schemav1.Problem {
	if l.Configuration == nil {
		return l.Problems
	}
	problems := &report{}
	for _, finding := range FindDangerousChanges(old, l.Configuration) {
		if !finding.Allowed {
			at, rule, suggestion, message := finding.problem(l.places.near(finding.Path))
			problems.add(at, rule, suggestion, "%s", message)
		}
	}
	return problems.sorted()
}

// FindDangerousChanges returns the dangerous parts of a change, in a fixed order.
func FindDangerousChanges(old, next *schemav1.Configuration) []DangerousChange {
	if old == nil || next == nil {
		return nil
	}
	c := &change{old: old, next: next}
	c.sites()
	c.regions()
	c.tenants()
	c.services()
	for i := range c.findings {
		_, can := allowable[c.findings[i].Danger]
		c.findings[i].Allowed = can && slices.Contains(next.GetAllow(), string(c.findings[i].Danger))
	}
	return c.findings
}

// change compares two configurations.
type change struct {
	old, next *schemav1.Configuration
	findings  []DangerousChange
}

func (c *change) add(danger Danger, path, format string, args ...any) {
	c.findings = append(c.findings, DangerousChange{Danger: danger, Path: path, Message: fmt.Sprintf(format, args...)})
}

type named interface{ GetName() string }

// indexOf maps the names of a list to their elements.
func indexOf[T named](list []T) map[string]T {
	byName := make(map[string]T, len(list))
	for _, element := range list {
		byName[element.GetName()] = element
	}
	return byName
}

func isInService(site *schemav1.DataCentre) bool {
	return site != nil && !site.GetOut() && !site.GetLost()
}

func (c *change) sites() {
	old, next := indexOf(c.old.GetDataCentres()), indexOf(c.next.GetDataCentres())
	for i, site := range c.next.GetDataCentres() {
		path := fmt.Sprintf("data_centres[%d]", i)
		before, existed := old[site.GetName()]
		if existed && before.GetRegion() != site.GetRegion() {
			c.add(DangerDataCentreRegion, path+".region", "data centre %s moves to region %s", site.GetName(), site.GetRegion())
		}
		if existed && site.GetLost() && !before.GetLost() {
			c.add(DangerDataCentreLost, path+".lost", "data centre %s is declared lost", site.GetName())
		}
	}
	for _, site := range c.old.GetDataCentres() {
		if next[site.GetName()] == nil && isInService(site) {
			c.add(DangerRemoveDataCentre, "data_centres", "data centre %s is removed while in service", site.GetName())
		}
	}
	if len(sitesInService(c.next, "")) == 0 && len(sitesInService(c.old, "")) > 0 {
		c.add(DangerAllDataCentresOut, "data_centres", "all data centres are out")
	}
}

// sitesInService returns the data centres of a region, or of all regions for "".
func sitesInService(configuration *schemav1.Configuration, region string) []*schemav1.DataCentre {
	var sites []*schemav1.DataCentre
	for _, site := range configuration.GetDataCentres() {
		if isInService(site) && (region == "" || site.GetRegion() == region) {
			sites = append(sites, site)
		}
	}
	return sites
}

func (c *change) regions() {
	homes, next := homeRegionsInUse(c.next), indexOf(c.next.GetRegions())
	for _, region := range c.old.GetRegions() {
		name := region.GetName()
		if next[name] == nil {
			c.add(DangerRemoveRegion, "regions", "region %s is removed", name)
			continue
		}
		before := sitesInService(c.old, name)
		if homes[name] && len(before) > 0 && len(sitesInService(c.next, name)) == 0 {
			c.add(DangerLastDataCentre, c.lastSitePath(before), "home region %s has no data centre left in service", name)
		}
	}
}

// lastSitePath is the field that takes the first of the data centres out.
func (c *change) lastSitePath(before []*schemav1.DataCentre) string {
	old := indexOf(before)
	for i, site := range c.next.GetDataCentres() {
		switch {
		case old[site.GetName()] == nil:
		case site.GetLost():
			return fmt.Sprintf("data_centres[%d].lost", i)
		case site.GetOut():
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
