package replication

import (
	"time"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/ansel1/merry/v2"
)

// done is a callback that receives the outcome of a call. It must not block.
type done func(result []byte, err error)

// proposal is a proposed command or membership change whose outcome is not known yet.
type proposal struct {
	term uint64
	done done
}

// confirmedRead is a read whose index is known but not applied yet.
type confirmedRead struct {
	index uint64
	done  done
}

// driver is a replica without its goroutine and clock. It drives a raft.Node and is not safe for concurrent use. The
// simulation in the tests runs drivers directly.
type driver struct {
	options Options
	node    *raft.Node
	// proposals are the pending proposals by log index. An index can have several, because a proposal of an earlier term
	// that was overwritten in this log may still be committed by another member.
	proposals map[uint64][]proposal
	// pendingReads, by read ID, wait for the index up to which the state machine must be applied; confirmedReads wait for
	// the state machine to reach it.
	pendingReads   map[uint64]done
	lastReadID     uint64
	confirmedReads []confirmedRead
	// sealWaiters are called once a seal is durable, or could not be saved.
	sealWaiters []func(err error)
	// learnedAddresses are sender addresses by member ID, for a learner that has not received the membership yet.
	learnedAddresses map[uint64]string
	appliedIndex     uint64
	// entriesSinceSnapshot and bytesSinceSnapshot count what was applied since the last snapshot, which has
	// lastSnapshotBytes bytes.
	entriesSinceSnapshot uint64
	bytesSinceSnapshot   int
	lastSnapshotBytes    int
	// beforeSend is called before messages are sent, to update the published lease: messages such as those of a leadership
	// transfer may end it.
	beforeSend func()
}

// newDriver loads the storage and, if it is empty and options has initial members, bootstraps it. The error is an
// *OperationError.
func newDriver(options Options) (*driver, error) {
	options.setDefaults()
	state, err := options.Storage.Load()
	if err != nil {
		return nil, merry.Wrap(&OperationError{OperationLoad, err})
	}
	if state.HardState == nil && state.Snapshot == nil && len(options.InitialMembers) > 0 {
		state = raft.Bootstrap(&schemav1.Membership{Members: options.InitialMembers}, options.InitialSnapshot)
		if err := options.Storage.Save(state.HardState, nil, state.Snapshot); err != nil {
			return nil, merry.Wrap(&OperationError{OperationSave, err})
		}
	}
	node, err := raft.New(options.Raft, state)
	if err != nil {
		return nil, merry.Wrap(&OperationError{OperationLoad, err})
	}
	d := &driver{
		options: options, node: node, proposals: map[uint64][]proposal{}, pendingReads: map[uint64]done{},
		learnedAddresses: map[uint64]string{}, beforeSend: func() {},
	}
	if state.Snapshot != nil {
		if err := d.restore(state.Snapshot); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// restore replaces the state of the state machine by a snapshot. The empty snapshot of a new group is not restored into a
// new state machine. The outcome of pending proposals that the snapshot covers is unknown.
func (d *driver) restore(snapshot *schemav1.Snapshot) error {
	if len(snapshot.GetData()) > 0 || d.appliedIndex > 0 {
		if err := d.options.StateMachine.Restore(snapshot.GetData()); err != nil {
			return merry.Wrap(&OperationError{OperationRestore, err})
		}
	}
	d.appliedIndex = snapshot.GetIndex()
	d.entriesSinceSnapshot, d.bytesSinceSnapshot, d.lastSnapshotBytes = 0, 0, len(snapshot.GetData())
	for index, proposals := range d.proposals {
		if index > d.appliedIndex {
			continue
		}
		delete(d.proposals, index)
		for _, p := range proposals {
			p.done(nil, merry.Wrap(&OutcomeUnknownError{&ProposalCompactedError{index, p.term}}))
		}
	}
	return nil
}

// advanceTime sets the time to elapsed since the start. It must be called after the inputs of a cycle were received and
// before they are handled. With an older time, a heartbeat would count as received before it was sent, and this member
// could vote for another leader while the lease of the current one still holds.
func (d *driver) advanceTime(elapsed time.Duration) {
	if ticks := uint64(elapsed / d.options.Tick); ticks > d.node.Now() {
		d.node.TickBy(ticks - d.node.Now())
	}
}

// nextWakeup returns the time since the start at which advanceTime must be called again if there is no input before.
func (d *driver) nextWakeup() time.Duration {
	return time.Duration(d.node.NextWakeup()) * d.options.Tick
}

// step handles a batch of messages from another member.
func (d *driver) step(batch *schemav1.RaftBatch) error {
	for _, message := range batch.GetMessages() {
		if address := batch.GetFromAddress(); address != "" {
			d.learnedAddresses[message.GetFrom()] = address
		}
		if err := d.node.Step(message); err != nil {
			return merry.Wrap(&OperationError{OperationStep, err})
		}
	}
	return nil
}

func (d *driver) propose(command []byte, done done) {
	index, term, err := d.node.Propose(command)
	d.addPendingProposal(index, term, err, done)
}

func (d *driver) change(change *schemav1.MembershipChange, done done) {
	index, term, err := d.node.ProposeChange(change)
	d.addPendingProposal(index, term, err, done)
}

// addPendingProposal registers done for the entry that was proposed at index, or passes err to it.
func (d *driver) addPendingProposal(index, term uint64, err error, done done) {
	if err != nil {
		done(nil, d.publicError(err))
		return
	}
	d.proposals[index] = append(d.proposals[index], proposal{term, done})
}

// read calls done once the state machine has applied everything that was committed before the call.
func (d *driver) read(done done) {
	d.lastReadID++
	if err := d.node.ReadIndex(d.lastReadID); err != nil {
		done(nil, d.publicError(err))
		return
	}
	d.pendingReads[d.lastReadID] = done
}

// processReady does all pending work of the Raft node: saves, sends, applies and completes calls. An error stops the
// replica.
func (d *driver) processReady() error {
	for {
		ready, ok := d.node.Ready()
		d.beforeSend()
		if !ok {
			return nil
		}
		if ready.MustSave() {
			if err := d.options.Storage.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
				return merry.Wrap(&OperationError{OperationSave, err})
			}
		}
		d.send(ready.Messages)
		if ready.Snapshot != nil {
			if err := d.restore(ready.Snapshot); err != nil {
				return err
			}
		}
		for _, entry := range ready.CommittedEntries {
			d.apply(entry)
		}
		d.completeReads(ready.ReadStates)
		d.node.Advance(ready)
		if err := d.maybeCompact(); err != nil {
			return err
		}
	}
}

// send sends messages in one batch per destination, in order. Messages to members of unknown address are dropped.
func (d *driver) send(messages []*schemav1.RaftMessage) {
	batches := map[uint64]*schemav1.RaftBatch{}
	var order []uint64
	for _, message := range messages {
		batch := batches[message.GetTo()]
		if batch == nil {
			batch = &schemav1.RaftBatch{
				Group: d.options.Group, Generation: d.options.Generation, FromAddress: d.options.Address,
			}
			batches[message.GetTo()] = batch
			order = append(order, message.GetTo())
		}
		batch.Messages = append(batch.Messages, message)
	}
	for _, id := range order {
		if address := d.addressOf(id); address != "" {
			d.options.Transport.Send(address, batches[id])
		}
	}
}

func (d *driver) addressOf(id uint64) string {
	if member := d.node.Member(id); member != nil {
		return member.GetAddress()
	}
	return d.learnedAddresses[id]
}

// apply applies a committed entry and completes the proposals at its index.
func (d *driver) apply(entry *schemav1.Entry) {
	var result []byte
	if entry.GetType() == schemav1.EntryType_ENTRY_TYPE_COMMAND && len(entry.GetData()) > 0 {
		result = d.options.StateMachine.Apply(entry.GetIndex(), entry.GetData())
	}
	d.appliedIndex = entry.GetIndex()
	d.entriesSinceSnapshot++
	d.bytesSinceSnapshot += len(entry.GetData())
	proposals, ok := d.proposals[entry.GetIndex()]
	if !ok {
		return
	}
	delete(d.proposals, entry.GetIndex())
	for _, p := range proposals {
		if p.term != entry.GetTerm() {
			p.done(nil, merry.Wrap(&ProposalReplacedError{entry.GetIndex(), p.term}))
			continue
		}
		p.done(result, nil)
	}
}

// completeReads adds the results of ReadIndex and completes the reads whose index is applied.
func (d *driver) completeReads(states []raft.ReadState) {
	for _, state := range states {
		done := d.pendingReads[state.ID]
		delete(d.pendingReads, state.ID)
		if state.LeadershipLost {
			done(nil, d.publicError(&raft.NotLeaderError{LeaderID: d.node.LeaderID()}))
			continue
		}
		d.confirmedReads = append(d.confirmedReads, confirmedRead{state.Index, done})
	}
	waiting := d.confirmedReads[:0]
	for _, read := range d.confirmedReads {
		if read.index <= d.appliedIndex {
			read.done(nil, nil)
		} else {
			waiting = append(waiting, read)
		}
	}
	d.confirmedReads = waiting
}

// maybeCompact takes a snapshot and compacts the log if enough was applied since the last snapshot.
func (d *driver) maybeCompact() error {
	if d.entriesSinceSnapshot < d.options.SnapshotThresholdEntries &&
		d.bytesSinceSnapshot < max(d.options.SnapshotThresholdBytes, d.lastSnapshotBytes) {
		return nil
	}
	data, err := d.options.StateMachine.Snapshot()
	if err != nil {
		return merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	snapshot, err := d.node.Compact(d.appliedIndex, data, d.options.RetainedEntries)
	if err != nil {
		return merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	if err := d.options.Storage.Save(nil, nil, snapshot); err != nil {
		return merry.Wrap(&OperationError{OperationSave, err})
	}
	d.entriesSinceSnapshot, d.bytesSinceSnapshot, d.lastSnapshotBytes = 0, 0, len(data)
	return nil
}

// failPending completes all pending calls with an error when the member stops or is sealed. The outcome of proposals is
// then unknown.
func (d *driver) failPending(cause error) {
	for _, proposals := range d.proposals {
		for _, p := range proposals {
			p.done(nil, merry.Wrap(&OutcomeUnknownError{cause}))
		}
	}
	for _, done := range d.pendingReads {
		done(nil, merry.Wrap(cause))
	}
	for _, read := range d.confirmedReads {
		read.done(nil, merry.Wrap(cause))
	}
	d.proposals, d.pendingReads, d.confirmedReads = map[uint64][]proposal{}, map[uint64]done{}, nil
}
