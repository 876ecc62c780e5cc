package dispatch

import "time"

// Notice is what an answer of a target says about further requests.
type Notice struct {
	// Leaving is set if the target is about to stop and wants no new requests.
	Leaving bool
	// Pause is how long the target wants no requests from this host; 0 if it does not ask for a pause.
	Pause time.Duration
}
