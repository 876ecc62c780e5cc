package entry

import (
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

// Protocol has the names with which callers and targets speak. All header names are in canonical form.
type Protocol struct {
	// RequestIDHeader identifies one request of a caller; targets echo it.
	RequestIDHeader string
	// DeadlineHeader is the caller's deadline in milliseconds from the moment of sending.
	DeadlineHeader string
	// KeyHeader is the key of a request to an exclusive service, a decimal number.
	KeyHeader string
	// TargetHeader names the only target that may run the request.
	TargetHeader string
	// NotRunHeader marks answers of targets that did not run the request.
	NotRunHeader string
	// SignatureHeader marks answers that a target made itself.
	SignatureHeader string
	// LoadHeader carries a target's load report; ParseLoad decodes it.
	LoadHeader string
	ParseLoad  func(string) (dispatch.TargetLoad, bool)
	// ReadyPath is where the balancer asks whether the host takes callers.
	ReadyPath string
	// ParseDeadline decodes the field TimeLeft.
	ParseDeadline func(string) (time.Duration, bool)
}
