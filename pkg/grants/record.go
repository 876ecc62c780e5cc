package grants

import "time"

// grantPhase tells how far the calls with the current fence of a range got, and so what the owner of the range may hold.
type grantPhase int

const (
	// phaseInherited: an earlier leader may have granted the keys with this fence. The owner may hold them until expiresAt.
	phaseInherited grantPhase = iota
	// phaseUnused: no call with this fence has reached a process. The owner may hold the keys until expiresAt, but only under an older
	// fence, which a release with this fence might not end.
	phaseUnused
	// phaseGranted: a call with this fence may have reached the owner. It may hold the keys until expiresAt.
	phaseGranted
	// phaseReleased: the owner has released the keys. It holds them again only if an earlier grant call without a response takes effect
	// late, which is possible until expiresAt.
	phaseReleased
)

// String implements fmt.Stringer.
func (p grantPhase) String() string {
	return [...]string{"inherited", "unused", "granted", "released"}[p]
}

// grantRecord is what the leader knows about the grant of one key range. Its methods are the only transitions between the phases. In
// each phase the range may get another owner only when isExpired reports true.
type grantRecord struct {
	callSchedule
	fence uint64
	phase grantPhase
	// expiresAt is when the owner has certainly ceased to hold the keys.
	expiresAt time.Duration
	// unconfirmedUntil is the time until which a grant call without a response may still take effect. Targets may apply a grant
	// seconds after its arrival, also after a release, but its validity counts from its arrival.
	unconfirmedUntil time.Duration
	// changeable is set while a proposal of unknown outcome, of this leader or an earlier one, may still give the range to another target. The
	// fence must then be raised before the next grant, because such a proposal expects the present one.
	changeable bool
	// handover is what the previous owner returned at the release, until the next owner has confirmed a grant.
	handover string
	// failing is set by a failed grant call until one succeeds; failingSince is the time of the first failure.
	failing      bool
	failingSince time.Duration
}

// inheritedRecord returns the record of a range whose fence was committed by another leader, which may have granted the keys just before.
// Its next call is due.
func inheritedRecord(fence uint64, now time.Duration) grantRecord {
	return grantRecord{
		callSchedule: callSchedule{nextCallAt: now}, fence: fence, phase: phaseInherited, expiresAt: now + maxGrantAge,
		unconfirmedUntil: now + maxGrantAge, changeable: true,
	}
}

// isExpired reports whether the owner certainly does not hold the keys.
func (r *grantRecord) isExpired(now time.Duration) bool { return now >= r.expiresAt }

// isUnconfirmed reports whether a grant call without a response may still take effect.
func (r *grantRecord) isUnconfirmed(now time.Duration) bool { return now < r.unconfirmedUntil }

// canRelease reports whether a release call with the current fence ends every grant that the owner has confirmed.
func (r *grantRecord) canRelease() bool { return r.phase == phaseInherited || r.phase == phaseGranted }

// beginGrant is called before each grant call, and tells whether the call is a renewal. The keys count as granted from then on,
// because the call may take effect without a response.
func (r *grantRecord) beginGrant() (renewal bool) {
	if r.phase == phaseUnused {
		return false
	}
	r.phase = phaseGranted
	return true
}

// grantConfirmed records a grant call that the owner has confirmed.
func (r *grantRecord) grantConfirmed(now time.Duration) {
	r.phase, r.expiresAt, r.failing, r.handover = phaseGranted, now+maxGrantAge, false, ""
}

// grantUnconfirmed records a grant call without a response, which may have arrived at the latest now and may take effect later.
func (r *grantRecord) grantUnconfirmed(now time.Duration) {
	r.phase, r.unconfirmedUntil = phaseGranted, now+maxGrantAge
	r.expiresAt = max(r.expiresAt, r.unconfirmedUntil)
}

// grantFailed records that a grant call failed. It returns true if earlier calls had failed too.
func (r *grantRecord) grantFailed(now time.Duration) (again bool) {
	if r.failing {
		return true
	}
	r.failing, r.failingSince = true, now
	return false
}

// fenceRaised records a higher fence for the same owner. A grant under the old fence stays valid.
func (r *grantRecord) fenceRaised(fence uint64) {
	r.fence, r.phase, r.changeable = fence, phaseUnused, false
}

// ownerReleased records that the owner has released the keys.
func (r *grantRecord) ownerReleased(now time.Duration, handover string) {
	r.phase, r.handover = phaseReleased, handover
	r.expiresAt = max(now, r.unconfirmedUntil)
}

// assigned records a new owner under a new fence, which holds nothing yet.
func (r *grantRecord) assigned(fence uint64, now time.Duration) {
	if r.phase != phaseReleased {
		// The last owner may have worked on the keys since its release.
		r.handover = ""
	}
	r.fence, r.phase, r.expiresAt, r.unconfirmedUntil, r.failing, r.changeable = fence, phaseUnused, now, 0, false, false
}

// callSchedule tells when the next call for a range is due. Only one call is made at a time.
type callSchedule struct {
	callInProgress bool
	nextCallAt     time.Duration
	// dueAfterCall is set when the state of the range changed during a call, so that the next one is due as soon as it has ended.
	dueAfterCall bool
}

// ended records the end of a call; the next one is due after pause.
func (s *callSchedule) ended(now, pause time.Duration) {
	if s.dueAfterCall {
		pause = 0
	}
	s.callInProgress, s.dueAfterCall, s.nextCallAt = false, false, now+pause
}

// makeDue makes the next call due as soon as possible.
func (s *callSchedule) makeDue(now time.Duration) {
	s.nextCallAt, s.dueAfterCall = now, s.callInProgress
}
