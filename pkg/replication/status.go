package replication

import (
	"time"

	"almondrock.example/almondrock/pkg/raft"
)

// MemberStatus describes one member. Match, Silent and CaughtUp are known to the leader only.
type MemberStatus struct {
	ID      uint64
	Address string
	Learner bool
	// MatchIndex is the last log index that the member has acknowledged.
	MatchIndex uint64
	// SinceLastResponse is the time since the member's last answer; 0 for the leader itself.
	SinceLastResponse time.Duration
	// CaughtUp tells whether a learner may be promoted now.
	CaughtUp bool
}

// Status is a member's view of its group.
type Status struct {
	ID   uint64
	Role raft.Role
	Term uint64
	// LeaderID is 0 while none is known.
	LeaderID      uint64
	LeaderAddress string
	Sealed        bool
	// CommitIndex and Applied are log indexes.
	CommitIndex, AppliedIndex uint64
	// LeaderCommitIndex is the highest commit index that a leader has told; it is above Applied while this member lags behind.
	LeaderCommitIndex uint64
	LastIndex         uint64
	LastTerm          uint64
	LastSnapshotIndex uint64
	// Members is refreshed every heartbeat interval and when leader or term change.
	Members []MemberStatus
}

// Status returns the view after the last finished cycle.
func (r *Replica) Status() Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.status
}

func (r *Replica) publishStatus() {
	s := r.member.node.Status()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	members := r.status.Members
	if s.Now >= r.membersAt+raft.DefaultHeartbeatTicks || s.Term != r.status.Term || s.LeaderID != r.status.LeaderID ||
		len(s.Members) != len(members) {
		members, r.membersAt = r.memberStatuses(s.Members), s.Now
	}
	r.status = Status{
		ID: s.ID, Role: s.Role, Term: s.Term, LeaderID: s.LeaderID, LeaderAddress: r.member.addressOf(s.LeaderID),
		Sealed: s.Sealed, CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex, LeaderCommitIndex: s.LeaderCommitIndex, LastIndex: s.LastIndex, LastTerm: s.LastTerm,
		LastSnapshotIndex: s.SnapshotIndex, Members: members,
	}
}

func (r *Replica) memberStatuses(members []raft.MemberStatus) []MemberStatus {
	statuses := make([]MemberStatus, 0, len(members))
	for _, member := range members {
		statuses = append(statuses, MemberStatus{
			ID: member.Member.GetId(), Address: member.Member.GetAddress(), Learner: member.Member.GetLearner(),
			MatchIndex: member.MatchIndex, CaughtUp: member.CaughtUp,
			SinceLastResponse: time.Duration(member.TicksSinceLastResponse) * r.member.options.Tick,
		})
	}
	return statuses
}
