package replication

import (
	"context"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/ansel1/merry/v2"
)

// AddLearner adds a member that receives the log and does not vote. Errors as of Propose; *RefusedError with the
// reason raft.MemberExists when it is one already.
func (r *Replica) AddLearner(ctx context.Context, id uint64, address string) error {
	return r.change(ctx, schemav1.MembershipChange_KIND_ADD_LEARNER, &schemav1.Member{Id: id, Address: address})
}

// Promote makes a learner a voter. It is refused with the reason raft.NotCaughtUp until the learner has the log.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, schemav1.MembershipChange_KIND_PROMOTE, &schemav1.Member{Id: id})
}

// Remove removes a voter or a learner. It is refused with the reason raft.QuorumAtRisk if too few of the remaining
// voters are active.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.change(ctx, schemav1.MembershipChange_KIND_REMOVE, &schemav1.Member{Id: id})
}

func (r *Replica) change(ctx context.Context, kind schemav1.MembershipChange_Kind, member *schemav1.Member) error {
	change := &schemav1.MembershipChange{Kind: kind, Member: member}
	_, err := r.await(ctx, func(done done) { r.member.change(change, done) })
	return err
}

// TransferLeadership asks a voter to take over, for a planned stop of the leader. It returns once the transfer has
// started; Status tells the new leader.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	_, err := r.await(ctx, func(done done) {
		err := r.member.node.TransferLeadership(to)
		if err != nil {
			err = r.member.external(err)
		}
		done(nil, err)
	})
	return err
}

// SealedState is the log of a sealed member. Of all sealed members of a generation, the one with the highest
// (LastTerm, LastIndex) has every acknowledged command.
type SealedState struct {
	LastTerm, LastIndex uint64
	// Snapshot is the state machine up to the last command known to be committed; empty for an initial state.
	Snapshot []byte
	// UnappliedEntries has the entries after it. They may be committed, so the next generation must apply them.
	UnappliedEntries []*schemav1.Entry
}

// BuildSnapshot applies the tail to a new, empty state machine and returns the snapshot that the next generation starts from.
func (s *SealedState) BuildSnapshot(fresh StateMachine) ([]byte, error) {
	if len(s.Snapshot) > 0 {
		if err := fresh.Restore(s.Snapshot); err != nil {
			return nil, merry.Wrap(&OperationError{OperationRestore, err})
		}
	}
	for _, entry := range s.UnappliedEntries {
		if entry.GetType() == schemav1.EntryType_ENTRY_TYPE_COMMAND && len(entry.GetData()) > 0 {
			fresh.Apply(entry.GetIndex(), entry.GetData())
		}
	}
	data, err := fresh.Snapshot()
	if err != nil {
		return nil, merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	return data, nil
}

// Seal stops this member from ever voting or acknowledging again in its group, durably, and returns its log. It may be
// repeated. Waiting proposals get an *OutcomeUnknownError. The tail is not applied to the replica's own state machine,
// because it may not be committed.
func (r *Replica) Seal(ctx context.Context) (*SealedState, error) {
	var sealed *SealedState
	_, err := r.await(ctx, func(done done) {
		r.member.node.Seal()
		r.publishLease()
		r.member.sealed = append(r.member.sealed, func(err error) {
			if err == nil {
				sealed, err = r.member.sealedState()
			}
			done(nil, err)
		})
	})
	if err != nil {
		return nil, err
	}
	return sealed, nil
}

// answerSeals runs after a flush has made the seal durable.
func (m *member) answerSeals(err error) {
	if len(m.sealed) == 0 {
		return
	}
	m.abandon(&RefusedError{Reason: raft.ReasonSealed})
	for _, answer := range m.sealed {
		answer(err)
	}
	m.sealed = nil
}

func (m *member) sealedState() (*SealedState, error) {
	status := m.node.Status()
	sealed := &SealedState{LastTerm: status.LastTerm, LastIndex: status.LastIndex, UnappliedEntries: m.node.UnappliedEntries()}
	if m.applied == 0 {
		return sealed, nil
	}
	var err error
	if sealed.Snapshot, err = m.options.StateMachine.Snapshot(); err != nil {
		return nil, merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	return sealed, nil
}
