package target

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Rules for unreachable targets. A refused connect is certain at once, but a restart of the target's listener refuses
// for a moment; time-outs may be the network's. Both bounds together keep the detection under 1 s with grants sent
// every 100 ms.
const (
	refusedInARow  = 2
	timeoutsInARow = 3
	// minTimeout is the shortest wait that counts as a time-out: callers may set deadlines below a normal answer time.
	minTimeout = 150 * time.Millisecond
	// probeAfter is how long nothing is heard of a target without grants before a connect is tried.
	probeAfter = 250 * time.Millisecond
	// Reports name at most topKeys keys, and none below minShare of the target's slot time.
	topKeys  = 4
	minShare = 1.0 / 16
	// maxSamples bounds the latencies kept per report interval.
	maxSamples = 256
)

// health collects what the attached host sees of one target between two reports.
type health struct {
	mu          sync.Mutex
	refused     int
	timeouts    int
	unreachable bool
	probing     bool
	heard       time.Duration
	running     int
	busy        time.Duration
	changed     time.Duration
	reported    time.Duration
	latencies   []time.Duration
	answers     int
	keys        sketch
}

func (h *health) begin(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	h.running++
}

func (h *health) end(now, took time.Duration, id keyID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	h.running--
	h.keys.add(id, took)
}

// advance adds the slot time since the last change.
func (h *health) advance(now time.Duration) {
	h.busy += time.Duration(h.running) * (now - h.changed)
	h.changed = now
}

// answered records an answer; any answer shows that the target is reachable.
func (h *health) answered(now, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused, h.timeouts, h.heard = 0, 0, now
	if latency <= 0 {
		return
	}
	if len(h.latencies) < maxSamples {
		h.latencies = append(h.latencies, latency)
	} else {
		h.latencies[h.answers%maxSamples] = latency
	}
	h.answers++
}

// failed records a request that got no answer after waited.
func (h *health) failed(err error, waited time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var send *SendError
	if !errors.As(err, &send) || send.RejectedByGuard {
		return
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		h.refused++
	case send.Timeout() && waited >= minTimeout:
		h.timeouts++
	}
	if h.refused >= refusedInARow || h.timeouts >= timeoutsInARow {
		h.unreachable = true
	}
}

// silent reports whether nothing was heard of the target for so long that a connect should be tried.
func (h *health) silent(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now-h.heard >= probeAfter
}

// startProbe reports whether a connect may be tried now.
func (h *health) startProbe() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing || h.unreachable {
		return false
	}
	h.probing = true
	return true
}

// endProbe records a connect without a request. It says nothing about time-outs of requests: the kernel accepts
// connections for a frozen process.
func (h *health) endProbe(now time.Duration, err error) {
	h.mu.Lock()
	h.probing = false
	if err == nil {
		h.refused, h.heard = 0, now
	}
	h.mu.Unlock()
	if err != nil {
		h.failed(&SendError{Cause: err}, dialTimeout)
	}
}

func (h *health) isUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unreachable
}

// report returns the figures since the last report and starts a new interval.
func (h *health) report(now time.Duration, slots uint32, report *schemav1.TargetReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	capacity := float64(now-h.reported) * float64(max(1, slots))
	report.Unreachable = h.unreachable
	if capacity > 0 {
		report.Utilisation = min(1, float64(h.busy)/capacity)
		report.HotKeys = h.hotKeys(capacity)
	}
	if len(h.latencies) > 0 {
		slices.Sort(h.latencies)
		report.LatencyP50Us = uint32(h.latencies[len(h.latencies)/2].Microseconds())
	}
	h.busy, h.reported, h.answers = 0, now, 0
	h.latencies = h.latencies[:0]
}

func (h *health) hotKeys(capacity float64) []*schemav1.HotKeyReport {
	var reports []*schemav1.HotKeyReport
	for _, key := range h.keys.takeTop(topKeys) {
		share := min(1, float64(key.time)/capacity)
		if share < minShare {
			break
		}
		reports = append(reports, &schemav1.HotKeyReport{Keyspace: key.id.keyspace, KeyHash: key.id.hash, Share: share})
	}
	return reports
}
