package registrar

import (
	"context"
	"time"

	"almondrock.example/almondrock/pkg/replication"
)

// Times after which members are replaced.
const (
	// replacedSilence is the silence after which a voter gives way to a member that has its address: its disk is gone.
	replacedSilence = 300 * time.Millisecond
	// voterSilence is the silence after which a voter gives way to a learner. It is over ten heartbeats. A host that is
	// gone for good must be replaced before the next loss, which may come 4 s after its successor has started.
	voterSilence = 1500 * time.Millisecond
	// learnerSilence is the silence after which a learner that is not replaced is forgotten.
	learnerSilence = 60 * time.Second
	// answering is the silence below which a member counts as present.
	answering = time.Second
)

// change is one change of the group's members.
type change func(ctx context.Context, replica *replication.Replica) error

func promote(id uint64) change {
	return func(ctx context.Context, r *replication.Replica) error { return r.Promote(ctx, id) }
}

func remove(id uint64) change {
	return func(ctx context.Context, r *replication.Replica) error { return r.Remove(ctx, id) }
}

// wantedVoters is the number of voters that keeps a majority after the loss of as many hosts as are to be tolerated.
func wantedVoters(tolerated int) int { return max(3, 2*tolerated+1) }

// nextChange returns the next change of members, or nil. Voters are added before the ones that they replace are removed,
// so that an acknowledged entry is always on as many disks as are needed.
func nextChange(members []replication.MemberStatus, self uint64, wanted int) (change, string) {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	// A wiped disk: its learner becomes a voter first, so that its replica counts again as soon as possible.
	for _, m := range members {
		if old := replacedBy(members, m); old != nil {
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
	silent := mostSilentVoter(members, self)
	switch {
	case silent != nil && voters > wanted && silent.SinceLastResponse > answering:
		return remove(silent.ID), "silent voter was replaced"
	case silent != nil && spare != nil && voters == wanted && silent.SinceLastResponse > voterSilence:
		return promote(spare.ID), "replaces a silent voter"
	}
	for _, m := range members {
		if m.Learner && m.SinceLastResponse > learnerSilence {
			return remove(m.ID), "silent learner"
		}
	}
	return nil, ""
}

// replacedBy returns the silent member whose address m has taken over.
func replacedBy(members []replication.MemberStatus, m replication.MemberStatus) *replication.MemberStatus {
	for i := range members {
		other := &members[i]
		if other.ID != m.ID && other.Address == m.Address && other.SinceLastResponse > replacedSilence && other.SinceLastResponse > m.SinceLastResponse {
			return other
		}
	}
	return nil
}

func spareLearner(members []replication.MemberStatus) *replication.MemberStatus {
	for i := range members {
		if m := &members[i]; m.Learner && m.CaughtUp && m.SinceLastResponse < answering {
			return m
		}
	}
	return nil
}

func mostSilentVoter(members []replication.MemberStatus, self uint64) *replication.MemberStatus {
	var silent *replication.MemberStatus
	for i := range members {
		if m := &members[i]; !m.Learner && m.ID != self && (silent == nil || m.SinceLastResponse > silent.SinceLastResponse) {
			silent = m
		}
	}
	return silent
}
