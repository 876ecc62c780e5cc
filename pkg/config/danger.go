package config

import (
	"slices"
)

// Danger is the stable name of a dangerous change.
type Danger string

// Dangers that a file may allow by name.
const (
	DangerLastDataCentre   Danger = "last-data-centre"
	DangerAllOut           Danger = "all-data-centres-out"
	DangerDataCentreLost   Danger = "data-centre-lost"
	DangerRemoveDataCentre Danger = "remove-data-centre"
	DangerRemoveRegion     Danger = "remove-region"
	DangerRemoveService    Danger = "remove-service"
	DangerShards           Danger = "shard-count"
)

// Dangers that no file can allow, because keys would have two owners or leave their home regions while the change
// spreads: the tenant or service must be removed first.
const (
	DangerTenantRegions    Danger = "tenant-home-regions"
	DangerServiceRegions   Danger = "service-home-regions"
	DangerRouteRegions     Danger = "route-home-regions"
	DangerServiceKind      Danger = "service-kind"
	DangerDataCentreRegion Danger = "data-centre-region"
)

// allowable maps each danger that can be allowed to what it does.
var allowable = map[Danger]string{
	DangerLastDataCentre:   "no data centre of a home region is left in service, so its keys are refused",
	DangerAllOut:           "no data centre is left in service, so all requests are refused",
	DangerDataCentreLost:   "the data centre's keys get new owners without waiting for the old ones",
	DangerRemoveDataCentre: "a data centre that is in service disappears",
	DangerRemoveRegion:     "a region disappears",
	DangerRemoveService:    "a service disappears, so its requests are refused",
	DangerShards:           "all keys of the service are assigned anew",
}

func allowNames() []string {
	names := make([]string, 0, len(allowable))
	for name := range allowable {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}
