package registrar

import (
	"context"
	"time"

	"almondrock.example/almondrock/pkg/replication"
)

// Times without a response to the leader after which members are replaced or removed.
const (
	// replacedTimeout is the time after which a member is replaced by another one with the same address. It has lost its disk, so
	// that its host has joined again as a new member.
	replacedTimeout = 300 * time.Millisecond
	// voterTimeout is the time after which a voter is replaced by a learner. It is over ten heartbeats. A host that does not return
	// must be replaced before the next loss of a host, which may happen 4 s after the host that takes its place has started.
	voterTimeout = 1500 * time.Millisecond
	// learnerTimeout is the time after which a learner is removed even if no other member has its address.
	learnerTimeout = 60 * time.Second
	// responsiveTimeout is the time up to which a member counts as responsive.
	responsiveTimeout = time.Second
)

// membershipChange makes one membership change of the group.
type membershipChange func(ctx context.Context, replica *replication.Replica) error

func promote(id uint64) membershipChange {
	return func(ctx context.Context, r *replication.Replica) error { return r.Promote(ctx, id) }
}

func remove(id uint64) membershipChange {
	return func(ctx context.Context, r *replication.Replica) error { return r.Remove(ctx, id) }
}

// voterCount returns the number of voters that still have a majority after the loss of faultTolerance hosts.
func voterCount(faultTolerance int) int { return max(3, 2*faultTolerance+1) }

// nextMembershipChange returns the next membership change and its reason, or nil. New voters are added before the voters that they
// replace are removed, so that an acknowledged entry is always stored on as many disks as are needed. self is the ID of the leader,
// which is never removed.
func nextMembershipChange(members []replication.MemberStatus, self uint64, wanted int) (membershipChange, string) {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	// If a voter has lost its disk, the learner on the same host is promoted before any other change, so that the host has a voter
	// again as soon as possible.
	for _, m := range members {
		if old := findReplaced(members, m); old != nil {
			switch {
			case old.Learner:
				return remove(old.ID), "learner without its disk"
			case m.Learner && m.CaughtUp:
				return promote(m.ID), "replaces a voter that lost its disk"
			case !m.Learner:
				return remove(old.ID), "voter that lost its disk"
			}
		}
	}
	spare := spareLearner(members)
	if spare != nil && voters < wanted {
		return promote(spare.ID), "too few voters"
	}
	unresponsive := leastResponsiveVoter(members, self)
	switch {
	case unresponsive != nil && voters > wanted && unresponsive.SinceLastResponse > responsiveTimeout:
		return remove(unresponsive.ID), "unresponsive voter was replaced"
	case unresponsive != nil && spare != nil && voters == wanted && unresponsive.SinceLastResponse > voterTimeout:
		return promote(spare.ID), "replaces an unresponsive voter"
	}
	for _, m := range members {
		if m.Learner && m.SinceLastResponse > learnerTimeout {
			return remove(m.ID), "unresponsive learner"
		}
	}
	return nil, ""
}

// findReplaced returns the unresponsive member whose address m has taken over, or nil.
func findReplaced(members []replication.MemberStatus, m replication.MemberStatus) *replication.MemberStatus {
	for i := range members {
		other := &members[i]
		if other.ID != m.ID && other.Address == m.Address && other.SinceLastResponse > replacedTimeout && other.SinceLastResponse > m.SinceLastResponse {
			return other
		}
	}
	return nil
}

// spareLearner returns a responsive learner that has caught up and may become a voter, or nil.
func spareLearner(members []replication.MemberStatus) *replication.MemberStatus {
	for i := range members {
		if m := &members[i]; m.Learner && m.CaughtUp && m.SinceLastResponse < responsiveTimeout {
			return m
		}
	}
	return nil
}

// leastResponsiveVoter returns the voter, other than self, that has not responded for the longest time, or nil.
func leastResponsiveVoter(members []replication.MemberStatus, self uint64) *replication.MemberStatus {
	var unresponsive *replication.MemberStatus
	for i := range members {
		if m := &members[i]; !m.Learner && m.ID != self && (unresponsive == nil || m.SinceLastResponse > unresponsive.SinceLastResponse) {
			unresponsive = m
		}
	}
	return unresponsive
}
