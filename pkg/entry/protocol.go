package entry

import (
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
)

// Protocol has the names with which callers and targets speak. All header names are in canonical form.
type Protocol struct {
	// RequestID identifies one request of a caller; targets echo it.
	RequestID string
	// TimeLeft is the caller's deadline in milliseconds from the moment of sending.
	TimeLeft string
	// Key is the key of a request to an exclusive service, a decimal number.
	Key string
	// Target names the only target that may run the request.
	Target string
	// NotRun marks answers of targets that did not run the request.
	NotRun string
	// Proof marks answers that a target made itself.
	Proof string
	// Load carries a target's load report; ParseLoad decodes it.
	Load      string
	ParseLoad func(string) (dispatch.Load, bool)
	// ReadyPath is where the balancer asks whether the host takes callers.
	ReadyPath string
	// TimeLeftOf decodes the field TimeLeft.
	TimeLeftOf func(string) (time.Duration, bool)
}
