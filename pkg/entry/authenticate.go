package entry

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/routes"
)

const (
	// reasonNoPermittedRegion is the reason of a refusal because the route and the organisation have no region in common.
	reasonNoPermittedRegion dispatch.Reason = "no-permitted-region"
	// noPermittedRegionRetryAfter is far above the time in which a new configuration is in force. Only that can change the refusal.
	noPermittedRegionRetryAfter = 5 * time.Second
)

// authenticationFailure is why a request is not accepted from its caller.
type authenticationFailure struct {
	status int
	code   string
}

var (
	// errKeyUnknown tells that the request has no key, or one that the configuration in force certainly does not have.
	errKeyUnknown = &authenticationFailure{http.StatusUnauthorized, "key-unknown"}
	// errKeyUnconfirmed tells that the view is too old to tell whether the key is one of an organisation.
	errKeyUnconfirmed = &authenticationFailure{http.StatusServiceUnavailable, "keys-outdated"}
)

// authenticate returns the tenant of the request's key, or nil if the request needs none. viewAge is an age that the view does not exceed.
// It reads nothing of the body.
func (h *Host) authenticate(r *http.Request, v *view, viewAge time.Duration, route *routes.Route) (*routes.Tenant, *authenticationFailure) {
	if !v.table.Configuration.RequiresKeys {
		return nil, nil
	}
	var tenant *routes.Tenant
	known := false
	if keys := r.Header[h.options.Protocol.TenantKeyHeader]; len(keys) == 1 {
		tenant, known = v.table.FindTenant(keys[0])
	}
	switch {
	case known && h.options.MaxKeyViewAge > 0 && viewAge > h.options.MaxKeyViewAge:
		return nil, errKeyUnconfirmed
	case known:
		return tenant, nil
	case route.AllowAnonymous:
		return nil, nil
	case viewAge > maxViewAge:
		return nil, errKeyUnconfirmed
	default:
		return nil, errKeyUnknown
	}
}

// refuseUnauthenticated responds to a request that authenticate does not accept.
func (h *Host) refuseUnauthenticated(w http.ResponseWriter, id string, v *view, viewAge time.Duration, route *routes.Route, failure *authenticationFailure) {
	if failure.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", unconfiguredRetryAfter)
	}
	h.requestMetrics.recordRefusal(failure.code)
	result := writeError(w, h.options.Protocol, id, failure.status, failure.code)
	klog.InfoS("request", "id", id, "result", result, "route", route.Name, "revision", v.table.Configuration.Revision, "viewVersion", v.version, "viewAge", viewAge)
}

// recordRefusal records a refusal that depends on the caller's organisation.
func (m *requestMetrics) recordRefusal(code string) {
	m.scope.Tagged(map[string]string{metrics.TagCode: code}).Counter(metrics.Refusals).Inc(1)
}

// rank is the rank of the request: that of its tenant if it states one, else that of the route.
func (x *exchange) rank() int {
	if x.tenant != nil && x.tenant.Rank != nil {
		return *x.tenant.Rank
	}
	return x.route.Rank
}

// tenantName returns the name of the request's tenant, or "".
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// setTenantHeaders replaces the headers of the caller about its organisation in those for a target, if the configuration requires keys.
func (x *exchange) setTenantHeaders(header http.Header) {
	if !x.requiresKey {
		return
	}
	p := x.host.options.Protocol
	delete(header, p.TenantKeyHeader)
	delete(header, p.TenantHeader)
	if x.tenant != nil {
		header[p.TenantHeader] = []string{x.tenant.Name}
	}
}
