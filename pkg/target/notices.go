package target

import (
	"maps"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/internal/notice"
)

const (
	// drainTime is how long a target that leaves may still get requests. Its shards have usually moved by then.
	drainTime = 2 * time.Second
	// maxNotices is the number of boots whose notices are kept. Beyond it, those of targets that are not attached here are dropped.
	maxNotices = 4096
)

// boot identifies one boot of a target.
type boot struct{ target, id string }

// noticeState is what the notices of one boot of a target have in force. Both times are readings of the manager's clock.
type noticeState struct {
	leaving     bool
	leavingAt   time.Duration
	pausedUntil time.Duration
}

// notices holds what responses of targets said about further requests. It outlives attachments. The zero value is ready for use.
type notices struct {
	mu     sync.Mutex
	byBoot map[boot]noticeState
}

// record adds a notice of a boot. attached reports whether a target is attached.
func (n *notices) record(now time.Duration, b boot, told notice.Notice, attached func(target string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byBoot == nil {
		n.byBoot = map[boot]noticeState{}
	}
	if len(n.byBoot) >= maxNotices {
		maps.DeleteFunc(n.byBoot, func(b boot, _ noticeState) bool { return !attached(b.target) })
	}
	state := n.byBoot[b]
	if told.Leaving && !state.leaving {
		state.leaving, state.leavingAt = true, now
	}
	if told.Pause > 0 {
		state.pausedUntil = max(state.pausedUntil, now+told.Pause)
	}
	n.byBoot[b] = state
}

func (n *notices) of(b boot) noticeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byBoot[b]
}

// refusal returns why a boot of a target gets no requests now, or nil.
func (n *notices) refusal(now time.Duration, b boot) error {
	state := n.of(b)
	switch {
	case state.leaving && now >= state.leavingAt+drainTime:
		return apierr.New(apierr.Draining, "the target is leaving")
	case now < state.pausedUntil:
		return apierr.Wrap(&apierr.Refusal{
			Code: apierr.Overloaded, Ran: apierr.NotRun, Message: "the target has asked for a pause", RetryAfter: state.pausedUntil - now,
		})
	}
	return nil
}

// boot returns the present boot of the target. The caller must hold a.mu.
func (a *AttachedTarget) boot() boot {
	announcement := a.record.GetAnnouncement()
	return boot{announcement.GetTarget(), announcement.GetBootId()}
}

// CheckNotices returns a not-run refusal if the target wants no requests now, or nil.
func (a *AttachedTarget) CheckNotices() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.notices.refusal(a.manager.options.Clock(), a.boot())
}

// isLeaving reports whether the present boot of the target has said that it leaves.
func (a *AttachedTarget) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.manager.notices.of(a.boot()).leaving
}

// RecordNotice records what the response to the request says about further requests to the target.
func (r *InFlightRequest) RecordNotice(told notice.Notice) {
	if told == (notice.Notice{}) {
		return
	}
	m := r.attached.manager
	m.notices.record(m.options.Clock(), r.boot, told, func(target string) bool {
		_, attached := m.AttachedTarget(target)
		return attached
	})
}
