package target

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Rules that find unreachable targets. A refused connection is a certain sign, but a target that restarts its listener also
// refuses connections for a moment. Timeouts may be caused by the network. With grants sent every 100 ms, both limits
// together detect an unreachable target within 1 s.
const (
	refusalsUntilUnreachable = 2
	timeoutsUntilUnreachable = 3
	// minTimeoutWait is the shortest wait that counts as a timeout, because callers may set deadlines that are shorter than
	// a normal response time.
	minTimeoutWait = 150 * time.Millisecond
	// silenceBeforeProbe is the time without a response after which a target that gets no grants is probed.
	silenceBeforeProbe = 250 * time.Millisecond
	// A report names at most maxHotKeys keys, and none with less than minHotKeyShare of the target's slot time.
	maxHotKeys     = 4
	minHotKeyShare = 1.0 / 16
	// maxLatencySamples is the number of latencies kept per report interval.
	maxLatencySamples = 256
)

// health collects the attached host's observations of one target between two reports.
type health struct {
	mu                  sync.Mutex
	consecutiveRefusals int
	consecutiveTimeouts int
	unreachable         bool
	probing             bool
	// lastHeard is the time of the last response or successful probe.
	lastHeard time.Duration
	inFlight  int
	// slotTime is the time that requests have occupied slots since reportedAt, summed over the slots, up to slotTimeAt.
	slotTime   time.Duration
	slotTimeAt time.Duration
	reportedAt time.Duration
	latencies  []time.Duration
	responses  int
	keys       sketch
}

func (h *health) begin(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addSlotTime(now)
	h.inFlight++
}

func (h *health) end(now, duration time.Duration, id keyID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addSlotTime(now)
	h.inFlight--
	h.keys.add(id, duration)
}

// addSlotTime adds the slot time used since slotTimeAt. The caller must hold h.mu.
func (h *health) addSlotTime(now time.Duration) {
	h.slotTime += time.Duration(h.inFlight) * (now - h.slotTimeAt)
	h.slotTimeAt = now
}

// recordResponse records a response, which shows that the target is reachable. A latency of zero is not counted.
func (h *health) recordResponse(now, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.consecutiveRefusals, h.consecutiveTimeouts, h.lastHeard = 0, 0, now
	if latency <= 0 {
		return
	}
	if len(h.latencies) < maxLatencySamples {
		h.latencies = append(h.latencies, latency)
	} else {
		h.latencies[h.responses%maxLatencySamples] = latency
	}
	h.responses++
}

// recordFailure records that a request failed after waiting for waited. Errors of the guard are ignored.
func (h *health) recordFailure(err error, waited time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var send *SendError
	if !errors.As(err, &send) || send.RejectedByGuard {
		return
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		h.consecutiveRefusals++
	case send.Timeout() && waited >= minTimeoutWait:
		h.consecutiveTimeouts++
	}
	if h.consecutiveRefusals >= refusalsUntilUnreachable || h.consecutiveTimeouts >= timeoutsUntilUnreachable {
		h.unreachable = true
	}
}

// isSilent reports whether the target has not responded for silenceBeforeProbe, so that it should be probed.
func (h *health) isSilent(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now-h.lastHeard >= silenceBeforeProbe
}

// startProbe reports whether a probe may start, and if so marks one as running.
func (h *health) startProbe() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing || h.unreachable {
		return false
	}
	h.probing = true
	return true
}

// endProbe records the result of a probe, a connection attempt without a request. A successful probe does not reset the
// count of timeouts, because the kernel accepts connections even for a frozen process.
func (h *health) endProbe(now time.Duration, err error) {
	h.mu.Lock()
	h.probing = false
	if err == nil {
		h.consecutiveRefusals, h.lastHeard = 0, now
	}
	h.mu.Unlock()
	if err != nil {
		h.recordFailure(&SendError{Cause: err}, dialTimeout)
	}
}

func (h *health) isUnreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unreachable
}

// report fills in report with the observations since the last report and starts a new interval.
func (h *health) report(now time.Duration, slots uint32, report *schemav1.TargetReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addSlotTime(now)
	capacity := float64(now-h.reportedAt) * float64(max(1, slots))
	report.Unreachable = h.unreachable
	if capacity > 0 {
		report.Utilisation = min(1, float64(h.slotTime)/capacity)
		report.HotKeys = h.hotKeys(capacity)
	}
	if len(h.latencies) > 0 {
		slices.Sort(h.latencies)
		report.LatencyP50Us = uint32(h.latencies[len(h.latencies)/2].Microseconds())
	}
	h.slotTime, h.reportedAt, h.responses = 0, now, 0
	h.latencies = h.latencies[:0]
}

func (h *health) hotKeys(capacity float64) []*schemav1.HotKeyReport {
	var reports []*schemav1.HotKeyReport
	for _, key := range h.keys.takeTop(maxHotKeys) {
		share := min(1, float64(key.time)/capacity)
		if share < minHotKeyShare {
			break
		}
		reports = append(reports, &schemav1.HotKeyReport{Keyspace: key.id.keyspace, KeyHash: key.id.hash, Share: share})
	}
	return reports
}
