package dispatch

import (
	"cmp"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/internal/notice"
	"almondrock.example/almondrock/pkg/pace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// defaultDrainTime is how long a target that leaves still serves requests, if Options do not tell.
	defaultDrainTime = 2 * time.Second
	// returnSpreadDivisor divides a pause into the random time, at most maxReturnSpread, by which a host prolongs it. Without it all hosts that
	// were turned away together would return together.
	returnSpreadDivisor = 4
	maxReturnSpread     = time.Second
	// maxReturnTime bounds the time after a pause in which the requests in flight from this host at the target grow to the usual limit. It
	// covers several processing times, so that the target can ask for a further pause before it is full. After a shorter pause the time is as
	// long as the pause, so that a target that is full for a moment is not left idle for seconds.
	maxReturnTime = 2 * time.Second
	// peerPausePenalty is the cost of a target that pauses for a peer. It exceeds the differences between targets with a usual load, and is
	// below the time for which a request would have to wait when all others are full.
	peerPausePenalty = 300 * time.Millisecond
	// maxNotices is the number of starts of targets whose notices are kept. The registry keeps as many ended targets.
	maxNotices = 8192
	// maxReportedPauses bounds the pauses in a load report to a quarter of a datagram of 4 KiB.
	maxReportedPauses = 256
)

// Notice is what an answer of a target says about further requests.
type Notice = notice.Notice

// targetStart identifies one start of a target.
type targetStart struct {
	id            string
	startedUnixMs int64
}

func (t Target) start() targetStart { return targetStart{t.ID, t.StartedUnixMs} }

// noticeState is what the notices of one start of a target have in force on this host.
type noticeState struct {
	leaving   bool
	leavingAt time.Duration
	// pausedUntil is the latest end of the pauses that the target asked for. The host returns at returnAt, a random time later, and may have
	// as many requests in flight as usual from fullAt on.
	pausedUntil, returnAt, fullAt time.Duration
}

// hasLeft reports whether the target gets no more requests because its drain time is over.
func (n *noticeState) hasLeft(now, drainTime time.Duration) bool {
	return n != nil && n.leaving && now >= n.leavingAt+drainTime
}

// isLeaving reports whether the target has said that it leaves.
func (n *noticeState) isLeaving() bool { return n != nil && n.leaving }

// pauseLeft returns the time until the host returns to the target, or 0 if the target does not pause.
func (n *noticeState) pauseLeft(now time.Duration) time.Duration {
	if n == nil {
		return 0
	}
	return max(0, n.returnAt-now)
}

// inFlightLimit returns the number of requests that this host may have in flight at the target, given the usual limit. It grows from one
// after a pause.
func (n *noticeState) inFlightLimit(now time.Duration, limit int) int {
	if n == nil || now >= n.fullAt {
		return limit
	}
	return 1 + int(float64(limit-1)*float64(now-n.returnAt)/float64(n.fullAt-n.returnAt))
}

// isOver reports whether the notices have no effect any more.
func (n *noticeState) isOver(now time.Duration) bool {
	return !n.leaving && now >= n.fullAt
}

// NoticeEffect tells what a notice has changed.
type NoticeEffect struct {
	// Leaving is set if the target has said for the first time that it leaves.
	Leaving bool
	// PausedFor is the time until the first further request, if the notice has started or prolonged a pause, and 0 otherwise.
	PausedFor time.Duration
}

// RecordNotice records what an answer to the request for which choice was made says about further requests. It holds for the start of the
// target that was chosen, whatever views follow.
func (d *Dispatcher) RecordNotice(now time.Duration, choice *Choice, told Notice) NoticeEffect {
	effect := NoticeEffect{}
	if told == (Notice{}) {
		return effect
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.noticeState(now, choice.start())
	choice.target.notices = n
	if current := d.targets[choice.ID]; current != nil && current.start() == choice.start() {
		current.notices = n
	}
	if told.Leaving && !n.leaving {
		n.leaving, n.leavingAt, effect.Leaving = true, now, true
	}
	if until := now + told.Pause; told.Pause > 0 && until > n.pausedUntil {
		spread := min(told.Pause/returnSpreadDivisor, maxReturnSpread)
		n.pausedUntil = until
		n.returnAt = max(n.returnAt, until+time.Duration(d.options.Rand()*float64(spread)))
		n.fullAt = n.returnAt + min(n.returnAt-now, maxReturnTime)
		d.lastReturnAt = max(d.lastReturnAt, n.returnAt)
		effect.PausedFor = n.returnAt - now
		choice.target.pace.beginLater(n.returnAt, pace.CausePauseEnd)
		d.loadChanged = true
	}
	return effect
}

// noticeState returns the notices of a start of a target, and creates them if there are none yet.
func (d *Dispatcher) noticeState(now time.Duration, start targetStart) *noticeState {
	if n := d.notices[start]; n != nil {
		return n
	}
	if len(d.notices) >= maxNotices {
		d.dropNotices(now)
	}
	n := &noticeState{}
	d.notices[start] = n
	return n
}

// dropNotices deletes the notices that are over, or else the oldest half.
func (d *Dispatcher) dropNotices(now time.Duration) {
	var kept []targetStart
	for start, n := range d.notices {
		if n.isOver(now) {
			delete(d.notices, start)
			continue
		}
		kept = append(kept, start)
	}
	if len(kept) < maxNotices {
		return
	}
	slices.SortFunc(kept, func(a, b targetStart) int {
		return cmp.Compare(max(d.notices[a].leavingAt, d.notices[a].returnAt), max(d.notices[b].leavingAt, d.notices[b].returnAt))
	})
	for _, start := range kept[:len(kept)/2] {
		delete(d.notices, start)
	}
}

// LeavingTargets returns the targets that have said that they leave and are not known as draining yet.
func (d *Dispatcher) LeavingTargets() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	var leaving []Target
	for start, n := range d.notices {
		if t := d.targets[start.id]; n.leaving && t != nil && t.start() == start && !t.Draining {
			leaving = append(leaving, t.Target)
		}
	}
	return leaving
}

// PauseLeft returns the time until the first target that may run a request returns from its pause. It returns false unless all of them
// pause. Targets that were tried before count, because a later request may be sent to them.
func (d *Dispatcher) PauseLeft(now time.Duration, r *Request) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	earliest, found := time.Duration(0), false
	for _, t := range d.service(r.Service).targets {
		if !d.permits(t, r) || t.notices.hasLeft(now, d.options.DrainTime) {
			continue
		}
		left := t.notices.pauseLeft(now)
		if left == 0 {
			return 0, false
		}
		if !found || left < earliest {
			earliest, found = left, true
		}
	}
	return earliest, found
}

// AddPauses adds the targets that pause for this host to a load report.
func (d *Dispatcher) AddPauses(now time.Duration, report *schemav1.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now >= d.lastReturnAt {
		return
	}
	for _, t := range d.targets {
		if len(report.Pausing) < maxReportedPauses && t.notices.pauseLeft(now) > 0 {
			report.Pausing = append(report.Pausing, t.hash)
		}
	}
}
