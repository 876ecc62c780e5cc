package routes

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Tenant is an organisation whose callers identify themselves by a key.
type Tenant struct {
	Name string
	// Keys are the keys of the tenant. They are secret: no log line and no error contains them.
	Keys []string
	// Rank, if stated, takes precedence over the rank of the route.
	Rank *int
	// Rate is the number of requests a second that may run on all hosts together; 0 means no limit. Burst is the number of requests that may
	// run at once after a time without any.
	Rate, Burst float64
	// PermittedRegions are the only regions whose targets may serve the tenant; empty means all.
	PermittedRegions []string
}

// checkTenants returns the first reason why a tenant is invalid as a *ValidationError, or nil.
func (c *Configuration) checkTenants() error {
	names, owners := map[string]bool{}, map[string]string{}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		invalid := func(reason string) error {
			return &ValidationError{Reason: fmt.Sprintf("tenant %q: %s", t.Name, reason)}
		}
		switch {
		case t.Name == "":
			return &ValidationError{Reason: fmt.Sprintf("tenant %d: the name is empty", i+1)}
		case !isHeaderValue(t.Name):
			return invalid("the name cannot be the value of a header")
		case names[t.Name]:
			return invalid("another tenant has the same name")
		case t.Rate < 0:
			return invalid("the rate is negative")
		case t.Burst < 0:
			return invalid("the burst is negative")
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			owner, known := owners[key]
			switch {
			case key == "":
				return invalid("a key is empty")
			case !isHeaderValue(key):
				return invalid("a key cannot be the value of a header")
			case known && owner != t.Name:
				return invalid(fmt.Sprintf("a key is also one of tenant %q", owner))
			}
			owners[key] = t.Name
		}
	}
	return nil
}

// isHeaderValue reports whether a header field can have this value, and has it unchanged after it has been read.
func isHeaderValue(value string) bool {
	return httpguts.ValidHeaderFieldValue(value) && strings.Trim(value, " \t") == value
}

// tenantsByKey returns the tenant of each key of a valid configuration.
func tenantsByKey(c *Configuration) map[string]*Tenant {
	tenants := map[string]*Tenant{}
	for i := range c.Tenants {
		for _, key := range c.Tenants[i].Keys {
			tenants[key] = &c.Tenants[i]
		}
	}
	return tenants
}

// FindTenant returns the tenant with the key.
func (t *Table) FindTenant(key string) (*Tenant, bool) {
	tenant, ok := t.tenants[key]
	return tenant, ok
}

// RegionsFor returns the only regions whose targets may serve a request of the tenant, which may be nil, to the route; empty means all. It
// returns false if the route and the tenant have no region in common.
func (r *Route) RegionsFor(tenant *Tenant) ([]string, bool) {
	switch {
	case tenant == nil || len(tenant.PermittedRegions) == 0:
		return r.PermittedRegions, true
	case len(r.PermittedRegions) == 0:
		return tenant.PermittedRegions, true
	}
	var common []string
	for _, region := range r.PermittedRegions {
		if slices.Contains(tenant.PermittedRegions, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}
