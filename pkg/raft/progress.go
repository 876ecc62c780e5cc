package raft

type progressState int

const (
	// probing sends one append at a time until the follower's log is known to match.
	probing progressState = iota
	// replicating sends appends ahead of their acknowledgement.
	replicating
	// awaitingSnapshot sends no entries until the snapshot is acknowledged.
	awaitingSnapshot
)

// progress is what a leader knows of one member.
type progress struct {
	state       progressState
	match, next uint64
	// probeSent is set while the answer to a probe is awaited.
	probeSent bool
	// inflight has the last index of each unacknowledged append.
	inflight []uint64
	// activeAt is the tick of the last answer.
	activeAt uint64
	// acked is the last heartbeat round that the member answered.
	acked uint64
	// snapshot belongs to awaitingSnapshot.
	snapshot snapshotTransfer
	// A learner has caught up when a round of replication took at most a minimum election timeout (thesis 4.2.1).
	roundTarget, roundStart uint64
	caughtUp                bool
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.probeSent, p.inflight = probing, max(next, p.match+1), false, nil
}

// isPaused reports whether no append may be sent now.
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

// sent records an append that ends at last.
func (p *progress) sent(last uint64, empty bool) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	if !empty {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acknowledge records that the member's log matches up to index. It reports whether that is news.
func (p *progress) acknowledge(index uint64) bool {
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	switch {
	case p.state == probing && index+1 >= p.next, p.state == awaitingSnapshot && p.match >= p.snapshot.whole.GetIndex():
		p.state, p.next, p.probeSent, p.inflight = replicating, p.match+1, false, nil
		p.snapshot = snapshotTransfer{}
	case p.state == replicating:
		done := 0
		for done < len(p.inflight) && p.inflight[done] <= index {
			done++
		}
		p.inflight = p.inflight[done:]
	}
	return news
}

// isComplete reports whether the member has the whole log.
func (p *progress) isComplete(last uint64) bool { return p.state == replicating && p.match >= last }

// trackRound updates caughtUp after an acknowledgement at tick now.
func (p *progress) trackRound(last, now, limit uint64) {
	if p.match < p.roundTarget {
		return
	}
	p.caughtUp = now-p.roundStart <= limit
	p.roundTarget, p.roundStart = last, now
}
