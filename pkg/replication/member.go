package replication

import (
	"time"

	"almondrock.example/almondrock/pkg/raft"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/ansel1/merry/v2"
)

// done receives the outcome of a call; it must not block.
type done func(result []byte, err error)

type proposal struct {
	term uint64
	done done
}

type confirmedRead struct {
	index uint64
	done  done
}

// member is a replica without its goroutine and clock. The simulation in the tests drives it directly.
type member struct {
	options Options
	node    *raft.Node
	// proposals wait for the entry at their index.
	// There can be several: what was proposed in an earlier term and overwritten here may still be chosen elsewhere.
	proposals map[uint64][]proposal
	// reads wait for a read point, confirmed ones for the state machine to reach it.
	reads     map[uint64]done
	nextRead  uint64
	confirmed []confirmedRead
	// sealed has the callers that wait for a seal to be durable.
	sealed []func(err error)
	// addresses learned from batches, for a learner that does not have the membership yet.
	addresses map[uint64]string
	applied   uint64
	// entries and bytes applied since the last snapshot, which has snapshotSize bytes.
	entries      uint64
	bytes        int
	snapshotSize int
	// beforeSend is called before messages leave, to withdraw a lease that the messages may break.
	beforeSend func()
}

func newMember(options Options) (*member, error) {
	options.complete()
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
	m := &member{
		options: options, node: node, proposals: map[uint64][]proposal{}, reads: map[uint64]done{},
		addresses: map[uint64]string{}, beforeSend: func() {},
	}
	if state.Snapshot != nil {
		if err := m.restore(state.Snapshot); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// restore replaces the state machine. The empty snapshot of a new group is left out for a new state machine.
func (m *member) restore(snapshot *schemav1.Snapshot) error {
	if len(snapshot.GetData()) > 0 || m.applied > 0 {
		if err := m.options.StateMachine.Restore(snapshot.GetData()); err != nil {
			return merry.Wrap(&OperationError{OperationRestore, err})
		}
	}
	m.applied = snapshot.GetIndex()
	m.entries, m.bytes, m.snapshotSize = 0, 0, len(snapshot.GetData())
	for index, proposals := range m.proposals {
		if index > m.applied {
			continue
		}
		delete(m.proposals, index)
		for _, p := range proposals {
			p.done(nil, merry.Wrap(&OutcomeUnknownError{&ProposalCompactedError{index, p.term}}))
		}
	}
	return nil
}

// advance moves time to elapsed since the start. It must be called after the inputs of a cycle were received and before
// they are handled: a heartbeat must not count as heard before it was sent, or a vote could break the leader's lease.
func (m *member) advance(elapsed time.Duration) {
	if ticks := uint64(elapsed / m.options.Tick); ticks > m.node.Now() {
		m.node.TickBy(ticks - m.node.Now())
	}
}

// nextDue returns the time since the start at which advance must be called again if there is no input before.
func (m *member) nextDue() time.Duration { return time.Duration(m.node.NextWakeup()) * m.options.Tick }

func (m *member) step(batch *schemav1.RaftBatch) error {
	for _, message := range batch.GetMessages() {
		if address := batch.GetFromAddress(); address != "" {
			m.addresses[message.GetFrom()] = address
		}
		if err := m.node.Step(message); err != nil {
			return merry.Wrap(&OperationError{OperationStep, err})
		}
	}
	return nil
}

func (m *member) propose(command []byte, done done) {
	index, term, err := m.node.Propose(command)
	m.expect(index, term, err, done)
}

func (m *member) change(change *schemav1.MembershipChange, done done) {
	index, term, err := m.node.ProposeChange(change)
	m.expect(index, term, err, done)
}

func (m *member) expect(index, term uint64, err error, done done) {
	if err != nil {
		done(nil, m.external(err))
		return
	}
	m.proposals[index] = append(m.proposals[index], proposal{term, done})
}

func (m *member) read(done done) {
	m.nextRead++
	if err := m.node.ReadIndex(m.nextRead); err != nil {
		done(nil, m.external(err))
		return
	}
	m.reads[m.nextRead] = done
}

// flush does all pending work of the core. An error stops the replica.
func (m *member) flush() error {
	for {
		ready, ok := m.node.Ready()
		m.beforeSend()
		if !ok {
			return nil
		}
		if ready.MustSave() {
			if err := m.options.Storage.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
				return merry.Wrap(&OperationError{OperationSave, err})
			}
		}
		m.send(ready.Messages)
		if ready.Snapshot != nil {
			if err := m.restore(ready.Snapshot); err != nil {
				return err
			}
		}
		for _, entry := range ready.CommittedEntries {
			m.apply(entry)
		}
		m.answerReads(ready.ReadStates)
		m.node.Advance(ready)
		if err := m.compact(); err != nil {
			return err
		}
	}
}

// send groups messages by destination, in order.
func (m *member) send(messages []*schemav1.RaftMessage) {
	batches := map[uint64]*schemav1.RaftBatch{}
	var order []uint64
	for _, message := range messages {
		batch := batches[message.GetTo()]
		if batch == nil {
			batch = &schemav1.RaftBatch{
				Group: m.options.Group, Generation: m.options.Generation, FromAddress: m.options.Address,
			}
			batches[message.GetTo()] = batch
			order = append(order, message.GetTo())
		}
		batch.Messages = append(batch.Messages, message)
	}
	for _, id := range order {
		if address := m.addressOf(id); address != "" {
			m.options.Transport.Send(address, batches[id])
		}
	}
}

func (m *member) addressOf(id uint64) string {
	if member := m.node.Member(id); member != nil {
		return member.GetAddress()
	}
	return m.addresses[id]
}

func (m *member) apply(entry *schemav1.Entry) {
	var result []byte
	if entry.GetType() == schemav1.EntryType_ENTRY_TYPE_COMMAND && len(entry.GetData()) > 0 {
		result = m.options.StateMachine.Apply(entry.GetIndex(), entry.GetData())
	}
	m.applied = entry.GetIndex()
	m.entries++
	m.bytes += len(entry.GetData())
	proposals, ok := m.proposals[entry.GetIndex()]
	if !ok {
		return
	}
	delete(m.proposals, entry.GetIndex())
	for _, p := range proposals {
		if p.term != entry.GetTerm() {
			p.done(nil, merry.Wrap(&ProposalReplacedError{entry.GetIndex(), p.term}))
			continue
		}
		p.done(result, nil)
	}
}

func (m *member) answerReads(states []raft.ReadState) {
	for _, state := range states {
		done := m.reads[state.ID]
		delete(m.reads, state.ID)
		if state.LeadershipLost {
			done(nil, m.external(&raft.NotLeaderError{LeaderID: m.node.LeaderID()}))
			continue
		}
		m.confirmed = append(m.confirmed, confirmedRead{state.Index, done})
	}
	waiting := m.confirmed[:0]
	for _, read := range m.confirmed {
		if read.index <= m.applied {
			read.done(nil, nil)
		} else {
			waiting = append(waiting, read)
		}
	}
	m.confirmed = waiting
}

// compact takes a snapshot when enough was applied since the last one.
func (m *member) compact() error {
	if m.entries < m.options.SnapshotThresholdEntries && m.bytes < max(m.options.SnapshotThresholdBytes, m.snapshotSize) {
		return nil
	}
	data, err := m.options.StateMachine.Snapshot()
	if err != nil {
		return merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	snapshot, err := m.node.Compact(m.applied, data, m.options.RetainedEntries)
	if err != nil {
		return merry.Wrap(&OperationError{OperationSnapshot, err})
	}
	if err := m.options.Storage.Save(nil, nil, snapshot); err != nil {
		return merry.Wrap(&OperationError{OperationSave, err})
	}
	m.entries, m.bytes, m.snapshotSize = 0, 0, len(data)
	return nil
}

// abandon answers all waiting calls when the member stops or is sealed.
func (m *member) abandon(cause error) {
	for _, proposals := range m.proposals {
		for _, p := range proposals {
			p.done(nil, merry.Wrap(&OutcomeUnknownError{cause}))
		}
	}
	for _, done := range m.reads {
		done(nil, merry.Wrap(cause))
	}
	for _, read := range m.confirmed {
		read.done(nil, merry.Wrap(cause))
	}
	m.proposals, m.reads, m.confirmed = map[uint64][]proposal{}, map[uint64]done{}, nil
}
