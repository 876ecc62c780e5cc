package replication

import (
	"context"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/ansel1/merry/v2"
)

// AddLearner adds a member that receives the log and does not vote. It returns the errors of Propose; for an existing
// member it returns a *RefusedError with the reason raft.ReasonMemberExists.
func (r *Replica) AddLearner(ctx context.Context, id uint64, address string) error {
	return r.change(ctx, schemav1.MembershipChange_KIND_ADD_LEARNER, &schemav1.Member{Id: id, Address: address})
}

// Promote makes a learner a voter. It is refused with raft.ReasonNotCaughtUp until the learner has caught up with the log.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, schemav1.MembershipChange_KIND_PROMOTE, &schemav1.Member{Id: id})
}

// Remove removes a voter or a learner. It is refused with raft.ReasonNoActiveQuorum if too few of the remaining voters are
// active.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.change(ctx, schemav1.MembershipChange_KIND_REMOVE, &schemav1.Member{Id: id})
}

func (r *Replica) change(ctx context.Context, kind schemav1.MembershipChange_Kind, member *schemav1.Member) error {
	change := &schemav1.MembershipChange{Kind: kind, Member: member}
	_, err := r.runAndWait(ctx, func(done done) { r.driver.change(change, done) })
	return err
}

// TransferLeadership starts to hand leadership over to the voter with ID to, for example before a planned stop of the
// leader. It returns once the transfer has started; Status returns the new leader when there is one.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	_, err := r.runAndWait(ctx, func(done done) {
		err := r.driver.node.TransferLeadership(to)
		if err != nil {
			err = r.driver.publicError(err)
		}
		done(nil, err)
	})
	return err
}

// SealedState is the final state of a sealed member. Once a quorum of a generation is sealed, the sealed member with the
// highest (LastTerm, LastIndex) has every acknowledged command.
type SealedState struct {
	// LastTerm and LastIndex are the term and the index of the last entry of the log.
	LastTerm, LastIndex uint64
	// Snapshot is the state machine after the last applied command, the last one known to be committed. It may be empty for
	// the initial state.
	Snapshot []byte
	// UnappliedEntries are the entries after those in Snapshot. They may be committed, so the next generation must apply
	// them.
	UnappliedEntries []*schemav1.Entry
}

// BuildSnapshot restores Snapshot into a new, empty state machine, applies UnappliedEntries, and returns the resulting
// snapshot, which the next generation starts from. The error is an *OperationError.
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

// Seal durably stops this member from ever voting or acknowledging again in its group, and returns its final state. It may
// be called again and then returns the same state. Pending proposals fail with an *OutcomeUnknownError. The unapplied
// entries are not applied to the replica's own state machine, because they may not be committed.
func (r *Replica) Seal(ctx context.Context) (*SealedState, error) {
	var sealed *SealedState
	_, err := r.runAndWait(ctx, func(done done) {
		r.driver.node.Seal()
		r.publishLease()
		r.driver.sealWaiters = append(r.driver.sealWaiters, func(err error) {
			if err == nil {
				sealed, err = r.driver.sealedState()
			}
			done(nil, err)
		})
	})
	if err != nil {
		return nil, err
	}
	return sealed, nil
}

// completeSeals completes the calls of Seal after processReady has saved the seal, or has failed with err.
func (d *driver) completeSeals(err error) {
	if len(d.sealWaiters) == 0 {
		return
	}
	d.failPending(&RefusedError{Reason: raft.ReasonSealed})
	for _, complete := range d.sealWaiters {
		complete(err)
	}
	d.sealWaiters = nil
}

func (d *driver) sealedState() (*SealedState, error) {
	status := d.node.Status()
	sealed := &SealedState{LastTerm: status.LastTerm, LastIndex: status.LastIndex, UnappliedEntries: d.node.UnappliedEntries()}
	if d.appliedIndex == 0 {
		return sealed, nil
	}
	var err error
	if sealed.Snapshot, err = d.options.StateMachine.Snapshot(); err != nil {
		return nil, merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	return sealed, nil
}
