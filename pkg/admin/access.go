package admin

import (
	"slices"

	"github.com/labstack/echo/v4"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// AccessPolicy decides which clients may use which paths.
type AccessPolicy struct {
	// RequireCertificate is set when connections use TLS. Without it clients can't be identified, and all of them may use
	// all paths.
	RequireCertificate bool
	// Submitters are the names of the operators who may submit files. If it is empty, all operators may.
	Submitters []string
}

const (
	pathHealth = "/healthz"
	pathReady  = "/readyz"
	pathSubmit = "/v1/submit"
	// operatorKey is the key in echo's request context for the name of the operator in the client certificate.
	operatorKey = "operator"
)

// enforce is echo middleware that applies the policy. The health and readiness checks need no certificate, because the
// platform's load balancer has none. Operators and hosts may use all other paths, but only Submitters may submit.
func (a AccessPolicy) enforce(next echo.HandlerFunc) echo.HandlerFunc {
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
