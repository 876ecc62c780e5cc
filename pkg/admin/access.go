package admin

import (
	"slices"

	"github.com/labstack/echo/v4"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// AccessPolicy decides who may use which paths.
type AccessPolicy struct {
	// RequireCertificate is set when connections use TLS; without it, nobody is known and everybody may use all paths.
	RequireCertificate bool
	// Submitters are the operators who may submit, by name; all operators when empty.
	Submitters []string
}

const (
	pathHealth = "/healthz"
	pathReady  = "/readyz"
	pathSubmit = "/v1/submit"
	// operatorKey is the name in a request's context under which the operator of the certificate is kept.
	operatorKey = "operator"
)

// check is a middleware. The health checks are open, because the platform's balancer has no certificate. Operators and
// hosts may read and plan; only submitters may submit.
func (a AccessPolicy) check(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !a.RequireCertificate || c.Path() == pathHealth || c.Path() == pathReady {
			return next(c)
		}
		identity, err := tlsconfig.PeerIdentity(c.Request().TLS)
		if err != nil {
			return apierr.New(apierr.Forbidden, "the connection has no certificate of an operator or a host")
		}
		if c.Path() == pathSubmit && !a.maySubmit(identity) {
			return apierr.New(apierr.Forbidden, "%s may not submit", identity)
		}
		if identity.IsOperator() {
			c.Set(operatorKey, identity.Name)
		}
		return next(c)
	}
}

func (a AccessPolicy) maySubmit(identity tlsconfig.Identity) bool {
	return identity.IsOperator() && (len(a.Submitters) == 0 || slices.Contains(a.Submitters, identity.Name))
}
