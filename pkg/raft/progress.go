package raft

// progressState is how a leader sends its log to a member.
type progressState int

const (
	// probing sends one append at a time until the follower's log is known to match.
	probing progressState = iota
	// replicating sends further appends before the earlier ones are acknowledged.
	replicating
	// awaitingSnapshot sends no entries until the member has acknowledged the snapshot.
	awaitingSnapshot
)

// progress is what a leader knows of the log of one member.
type progress struct {
	state progressState
	// matchIndex is the last index at which the member's log is known to match, nextIndex that of the next entry to send.
	matchIndex, nextIndex uint64
	// probeSent is set while a probe waits for its response.
	probeSent bool
	// inflight has the index of the last entry of each unacknowledged append.
	inflight []uint64
	// lastResponseAt is the tick of the last response.
	lastResponseAt uint64
	// ackedRound is the last heartbeat round that the member has responded to.
	ackedRound uint64
	// sentAt is the timestamp of the last response.
	sentAt uint64
	// pendingSnapshot is the snapshot being sent while state is awaitingSnapshot.
	pendingSnapshot snapshotTransfer
	// A learner has caught up if it took at most a minimum election timeout to replicate the entries up to the end of the
	// log at the start of a catch-up round (thesis 4.2.1). catchUpTarget is that end, catchUpStart the tick of the start.
	catchUpTarget, catchUpStart uint64
	caughtUp                    bool
}

// probe starts to probe from the entry at nextIndex, or from the first entry that is not known to match if that is later.
func (p *progress) probe(nextIndex uint64) {
	p.state, p.nextIndex, p.probeSent, p.inflight = probing, max(nextIndex, p.matchIndex+1), false, nil
}

// isPaused reports whether no append may be sent to the member now.
func (p *progress) isPaused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

// recordSent records that an append was sent whose last entry has index last; empty is set if it has no entries.
func (p *progress) recordSent(last uint64, empty bool) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	if !empty {
		p.nextIndex = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acknowledge records that the member's log matches up to index. It reports whether matchIndex advanced.
func (p *progress) acknowledge(index uint64) bool {
	advanced := index > p.matchIndex
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	switch {
	case p.state == probing && index+1 >= p.nextIndex,
		p.state == awaitingSnapshot && p.matchIndex >= p.pendingSnapshot.fullSnapshot.GetIndex():
		p.state, p.nextIndex, p.probeSent, p.inflight = replicating, p.matchIndex+1, false, nil
		p.pendingSnapshot = snapshotTransfer{}
	case p.state == replicating:
		done := 0
		for done < len(p.inflight) && p.inflight[done] <= index {
			done++
		}
		p.inflight = p.inflight[done:]
	}
	return advanced
}

// hasWholeLog reports whether the member has all entries up to last, the last index of the leader's log.
func (p *progress) hasWholeLog(last uint64) bool {
	return p.state == replicating && p.matchIndex >= last
}

// updateCaughtUp sets caughtUp if an acknowledgement at tick now ends a catch-up round, and starts the next round. limit is
// the longest duration of a round, in ticks, after which the member counts as caught up.
func (p *progress) updateCaughtUp(last, now, limit uint64) {
	if p.matchIndex < p.catchUpTarget {
		return
	}
	p.caughtUp = now-p.catchUpStart <= limit
	p.catchUpTarget, p.catchUpStart = last, now
}
