package replication

import (
	"math"
	"time"

	"almondrock.example/almondrock/pkg/raft"
)

// MemberStatus describes one member of the group. MatchIndex, SinceLastResponse and CaughtUp are set on the leader only.
type MemberStatus struct {
	ID      uint64
	Address string
	Learner bool
	// MatchIndex is the last index at which the member's log is known to match the leader's.
	MatchIndex uint64
	// SinceLastResponse is the time since the member's last response; 0 for the leader itself.
	SinceLastResponse time.Duration
	// CaughtUp is set for voters and for learners that may be promoted now; it is not set for the leader itself.
	CaughtUp bool
}

// UnknownAge is the StateAge of a member whose state was not confirmed since its process started.
const UnknownAge time.Duration = math.MaxInt64

// Status describes the group as this member knows it.
type Status struct {
	ID   uint64
	Role raft.Role
	Term uint64
	// LeaderID is 0 while no leader is known.
	LeaderID                  uint64
	LeaderAddress             string
	Sealed                    bool
	CommitIndex, AppliedIndex uint64
	// StateAge is the time since the applied state certainly had everything that the group had committed, or UnknownAge. It grows while
	// this member is cut off from its leader, lags behind or waits for its disk.
	StateAge          time.Duration
	LastIndex         uint64
	LastTerm          uint64
	LastSnapshotIndex uint64
	// CommittedVoters is the number of voters of the last membership that is known to be committed; see raft.Status.
	CommittedVoters int
	// Members is refreshed every raft.DefaultHeartbeatTicks ticks and when the leader, the term or the number of members
	// changes.
	Members []MemberStatus
}

// Status returns the status after the last completed cycle.
func (r *Replica) Status() Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := r.status
	status.StateAge = UnknownAge
	if r.completenessKnown {
		status.StateAge = max(0, r.driver.options.Clock.Since(r.startTime)-r.completeAt)
	}
	return status
}

func (r *Replica) publishStatus() {
	s := r.driver.node.Status()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	completeAt, known := r.driver.node.CompleteAt()
	r.completeAt, r.completenessKnown = time.Duration(completeAt)*r.driver.options.Tick, known
	members := r.status.Members
	if s.Now >= r.membersRefreshedAt+raft.DefaultHeartbeatTicks || s.Term != r.status.Term || s.LeaderID != r.status.LeaderID ||
		len(s.Members) != len(members) {
		members, r.membersRefreshedAt = r.memberStatuses(s.Members), s.Now
	}
	r.status = Status{
		ID: s.ID, Role: s.Role, Term: s.Term, LeaderID: s.LeaderID, LeaderAddress: r.driver.addressOf(s.LeaderID),
		Sealed: s.Sealed, CommitIndex: s.CommitIndex, AppliedIndex: s.AppliedIndex,
		LastIndex: s.LastIndex, LastTerm: s.LastTerm,
		LastSnapshotIndex: s.SnapshotIndex, CommittedVoters: s.CommittedVoters, Members: members,
	}
}

func (r *Replica) memberStatuses(members []raft.MemberStatus) []MemberStatus {
	statuses := make([]MemberStatus, 0, len(members))
	for _, member := range members {
		statuses = append(statuses, MemberStatus{
			ID: member.Member.GetId(), Address: member.Member.GetAddress(), Learner: member.Member.GetLearner(),
			MatchIndex: member.MatchIndex, CaughtUp: member.CaughtUp,
			SinceLastResponse: time.Duration(member.TicksSinceLastResponse) * r.driver.options.Tick,
		})
	}
	return statuses
}
