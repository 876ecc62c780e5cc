package registrar

import (
	"sync/atomic"
	"time"

	"almondrock.example/almondrock/pkg/replication"
)

const (
	// maxLag is how long this host may lack committed entries and still count as up to date. It is a few round trips between regions.
	maxLag = 200 * time.Millisecond
	// maxStatusAge is the age of the member's status from which on it says nothing about the group any more, because the member waits for
	// its disk. Members publish their status at each heartbeat, learners every 200 ms.
	maxStatusAge = 500 * time.Millisecond
)

// freshness tells whether the state of this host is that of the group. Its times are those of one monotonic clock.
type freshness struct {
	// currentUntil is the time until which the host counts as up to date without a further confirmation.
	currentUntil atomic.Int64
}

// isUpToDate reports whether this host knows a leader and has applied, at some time in the last maxLag, all entries that the leader
// had reported as committed. Knowing a leader is not enough: a host that was down has a leader again long before it has caught up. A new
// leader reports what earlier leaders have committed only once an entry of its own term is committed.
func (f *freshness) isUpToDate(now time.Duration, status replication.Status) bool {
	if status.LeaderID == 0 || status.Age > maxStatusAge {
		return false
	}
	if status.AppliedIndex >= status.LeaderCommitIndex && status.CommitTerm == status.Term {
		f.currentUntil.Store(int64(now + maxLag))
		return true
	}
	return now < time.Duration(f.currentUntil.Load())
}
