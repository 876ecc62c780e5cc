package registrar

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/replication"
)

// A new group starts with the seeds as its voters. With a fault tolerance above 1 their majority may be no more hosts than may lose their
// disks, so nothing counts as stored until the other hosts have become voters.

// formingTimeout is the time after which a host takes a group for complete that has fewer voters than its fault tolerance needs, because the
// deployment has no more hosts. A host that starts 0.3 s after the others joins within 2.3 s even if two seeds do not respond, each of which
// takes forwardTimeout.
const formingTimeout = 2500 * time.Millisecond

// isFormed reports whether the voters that are left after the loss of faultTolerance hosts are still a majority, or the group has had enough
// time to add voters. led is the time for which the host has known a leader.
func isFormed(committedVoters, faultTolerance int, led time.Duration) bool {
	return committedVoters > 2*faultTolerance || led > formingTimeout
}

// forming tells when the group has formed. It stays formed: a voter that lost its disk is removed before its successor is promoted, but the
// majority of the others is still more hosts than may be lost.
type forming struct {
	formed chan struct{}
	// ledSince is the time at which the host first knew a leader.
	ledSince time.Time
}

// update takes the current status. Only the main loop calls it.
func (f *forming) update(status replication.Status, faultTolerance int) {
	if f.isFormed() {
		return
	}
	led := time.Duration(0)
	switch {
	case status.LeaderID == 0:
	case f.ledSince.IsZero():
		f.ledSince = time.Now()
	default:
		led = time.Since(f.ledSince)
	}
	if isFormed(status.CommittedVoters, faultTolerance, led) {
		klog.InfoS("group of registry hosts has formed", "voters", status.CommittedVoters, "faultTolerance", faultTolerance, "after", led)
		close(f.formed)
	}
}

func (f *forming) isFormed() bool {
	select {
	case <-f.formed:
		return true
	default:
		return false
	}
}

// await waits until the group has formed. It fails with ErrForming if ctx ends before.
func (f *forming) await(ctx context.Context) error {
	select {
	case <-f.formed:
		return nil
	case <-ctx.Done():
		return merry.Wrap(ErrForming)
	}
}
