package registrar

import (
	"context"
	"time"

	"almondrock.example/almondrock/pkg/replication"
)

// Times without a response to the leader after which members are replaced or removed.
const (
	// replacedTimeout is the time after which a member is replaced by another one with the same address. Its host
	// has lost its disk and has joined again as a new member.
	replacedTimeout = 300 * time.Millisecond
	// voterTimeout is the time after which a voter is replaced by a learner. It is longer than ten heartbeats. A host that does not return
	// must be replaced before the next loss of a host, which may happen 4 s after the host that takes its place has started.
	voterTimeout = 1500 * time.Millisecond
	// learnerTimeout is the time after which a learner is removed even if no other member has its address.
	learnerTimeout = 60 * time.Second
	// responsiveTimeout is the time up to which a member counts as responsive.
	responsiveTimeout = time.Second
)

// membershipChange is one membership change of the group: the promotion of a learner, or the removal of a member.
type membershipChange struct {
	id      uint64
	promote bool
}

func promote(id uint64) *membershipChange { return &membershipChange{id: id, promote: true} }

func remove(id uint64) *membershipChange { return &membershipChange{id: id} }

// apply makes the change.
func (c *membershipChange) apply(ctx context.Context, replica *replication.Replica) error {
	if c.promote {
		return replica.Promote(ctx, c.id)
	}
	return replica.Remove(ctx, c.id)
}

// voterCount returns the number of voters that still have a majority after the loss of faultTolerance hosts.
func voterCount(faultTolerance int) int { return max(3, 2*faultTolerance+1) }

// nextMembershipChange returns the next membership change and its reason, or nil. self is the ID of the leader, which is never removed.
//
// A voter that does not respond may still have its disk: its replacement is promoted first. A voter that has lost its disk is removed first.
// It never responds again, so an odd group needs as many of the others for a majority without it. If the new member of the same host were
// promoted first, the group would depend on it, and the loss of that one host would count twice.
func nextMembershipChange(members []replication.MemberStatus, self uint64, wanted int) (*membershipChange, string) {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	for _, m := range members {
		old := findReplaced(members, m)
		switch {
		case old == nil, m.Learner && !m.CaughtUp && !old.Learner:
		case old.Learner:
			return remove(old.ID), "learner without its disk"
		case !m.Learner, voters >= wanted:
			return remove(old.ID), "voter that lost its disk"
		default:
			return promote(m.ID), "replaces a voter that lost its disk"
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
