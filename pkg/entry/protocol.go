package entry

import (
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

// Protocol has the header names and formats of requests and responses. All header names are in canonical form.
type Protocol struct {
	// RequestIDHeader has the ID of a request; targets echo it in the response.
	RequestIDHeader string
	// DeadlineHeader has the time that is left until the deadline when the request is sent, in milliseconds.
	DeadlineHeader string
	// KeyHeader has the key of a request to an exclusive service, as a decimal number.
	KeyHeader string
	// TenantKeyHeader has the key of a caller's organisation, and TenantHeader tells the target the name of the organisation. If the
	// configuration requires keys, the former is not forwarded and the latter is not taken from callers.
	TenantKeyHeader, TenantHeader string
	// CallerHeaders have the identity of the caller, and what it asks for beside method, URI and body. They are the same when the caller
	// repeats a request.
	CallerHeaders []string
	// TargetHeader has the ID of the only target that may run the request.
	TargetHeader string
	// NotRunHeader is set in responses of targets that did not run the request.
	NotRunHeader string
	// SignatureHeader is set by targets in the successful responses that they made themselves.
	SignatureHeader string
	// LoadHeader has the load report of a target in its responses; ParseLoad decodes it.
	LoadHeader string
	ParseLoad  func(string) (dispatch.TargetLoad, bool)
	// LeavingHeader is set to 1 in all responses of a target that is about to stop.
	LeavingHeader string
	// ReadyPath is the URL path of the readiness check of the load balancer.
	ReadyPath string
	// ParseDeadline decodes the value of DeadlineHeader.
	ParseDeadline func(string) (time.Duration, bool)
}
