package replication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/ansel1/merry/v2"
)

const (
	// inboxBatches bounds the batches that wait; further ones are dropped, as by a lossy network.
	inboxBatches = 1024
	// cycleInputs bounds the inputs handled together, so that ticks are not held up.
	cycleInputs = 1024
)

// Replica runs one member of a group. It is safe for concurrent use.
type Replica struct {
	member *member
	start  time.Time
	inbox  chan *schemav1.RaftBatch
	calls  chan func()
	stop   chan struct{}
	once   sync.Once
	// done is closed when the goroutine has ended; err is set before.
	done chan struct{}
	err  error
	// leaseEnd is the end of the leader lease in time since start, or 0.
	leaseEnd atomic.Int64
	mutex    sync.Mutex
	status   Status
	// membersAt is the tick of the last refresh of status.Members.
	membersAt uint64
}

// New loads the storage and starts the replica. It owns the storage from then on. Errors are *FailedError.
func New(options Options) (*Replica, error) {
	options.complete()
	r := &Replica{
		start: options.Clock.Now(),
		inbox: make(chan *schemav1.RaftBatch, inboxBatches),
		calls: make(chan func(), cycleInputs),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	var err error
	if r.member, err = newMember(options); err != nil {
		return nil, err
	}
	r.member.beforeSend = r.publishLease
	r.publishStatus()
	go r.run()
	return r, nil
}

// run wakes up for input and when something is due, not at every tick: an idle member costs few wake-ups.
func (r *Replica) run() {
	defer close(r.done)
	defer r.leaseEnd.Store(0)
	clock := r.member.options.Clock
	armed := r.member.nextDue()
	timer := clock.NewTimer(armed - clock.Since(r.start))
	defer timer.Stop()
	for {
		var batches []*schemav1.RaftBatch
		var calls []func()
		select {
		case <-r.stop:
			r.close(nil)
			return
		case <-timer.Chan():
			armed = 0
		case batch := <-r.inbox:
			batches = append(batches, batch)
		case call := <-r.calls:
			calls = append(calls, call)
		}
		batches, calls = r.drain(batches, calls)
		if err := r.cycle(batches, calls); err != nil {
			r.close(err)
			return
		}
		// A timer that is early costs one idle cycle; moving it with every heartbeat would cost more.
		if due := r.member.nextDue(); armed == 0 || due < armed {
			armed = due
			timer.Reset(max(due-clock.Since(r.start), 0))
		}
	}
}

// drain takes what else is queued, so that one save covers all of it.
func (r *Replica) drain(batches []*schemav1.RaftBatch, calls []func()) ([]*schemav1.RaftBatch, []func()) {
	for range cycleInputs {
		select {
		case batch := <-r.inbox:
			batches = append(batches, batch)
		case call := <-r.calls:
			calls = append(calls, call)
		default:
			return batches, calls
		}
	}
	return batches, calls
}

func (r *Replica) cycle(batches []*schemav1.RaftBatch, calls []func()) error {
	r.member.advance(r.member.options.Clock.Since(r.start))
	for _, batch := range batches {
		if err := r.member.step(batch); err != nil {
			return err
		}
	}
	for _, call := range calls {
		call()
	}
	err := r.member.flush()
	r.member.answerSeals(err)
	r.publishStatus()
	return err
}

// close ends the replica; err is nil for a planned stop.
func (r *Replica) close(err error) {
	r.leaseEnd.Store(0)
	r.err = err
	cause := err
	if cause == nil {
		cause = &StoppedError{}
	}
	r.member.abandon(cause)
	if closeErr := r.member.options.Storage.Close(); closeErr != nil && r.err == nil {
		r.err = merry.Wrap(&OperationError{OperationSave, closeErr})
	}
}

// Stop ends the replica, closes its storage and waits for both.
func (r *Replica) Stop() {
	r.once.Do(func() { close(r.stop) })
	<-r.done
}

// Done is closed once the replica has ended, by Stop or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica ended by itself: a *FailedError, or nil. It may be called after Done is closed.
func (r *Replica) Err() error { return r.err }

// Step takes a batch from another member. It does not wait; a batch that finds the inbox full is dropped.
// The error is a *WrongGroupError.
func (r *Replica) Step(batch *schemav1.RaftBatch) error {
	options := &r.member.options
	if batch.GetGroup() != options.Group || batch.GetGeneration() != options.Generation {
		return merry.Wrap(&WrongGroupError{batch.GetGroup(), batch.GetGeneration()})
	}
	select {
	case r.inbox <- batch:
	default:
	}
	return nil
}

type outcome struct {
	result []byte
	err    error
}

// await queues start to the goroutine and waits for its outcome.
func (r *Replica) await(ctx context.Context, start func(done)) ([]byte, error) {
	outcomes := make(chan outcome, 1)
	call := func() { start(func(result []byte, err error) { outcomes <- outcome{result, err} }) }
	select {
	case r.calls <- call:
	case <-r.done:
		return nil, merry.Wrap(r.ended())
	case <-ctx.Done():
		return nil, merry.Wrap(ctx.Err())
	}
	select {
	case o := <-outcomes:
		return o.result, o.err
	case <-ctx.Done():
		return nil, merry.Wrap(&OutcomeUnknownError{ctx.Err()})
	case <-r.done:
		select {
		case o := <-outcomes:
			return o.result, o.err
		default:
			// The call was still queued.
			return nil, merry.Wrap(r.ended())
		}
	}
}

func (r *Replica) ended() error {
	if r.err != nil {
		return r.err
	}
	return &StoppedError{}
}

// Propose replicates a command and returns what the state machine returned for it. Errors: *NotLeaderError,
// *RefusedError, *LostError, *StoppedError and *FailedError mean that the command is not applied;
// *OutcomeUnknownError means that it may be.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.await(ctx, func(done done) { r.member.propose(command, done) })
}

// ReadBarrier returns once the local state machine has applied everything that was committed before the call. Only the
// leader serves it; errors as of Propose.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	_, err := r.await(ctx, func(done done) { r.member.read(done) })
	return err
}

// HoldsLease reports whether the leader lease is valid now.
func (r *Replica) HoldsLease() bool {
	end := time.Duration(r.leaseEnd.Load())
	return end > 0 && r.member.options.Clock.Since(r.start) < end
}

func (r *Replica) publishLease() {
	end := time.Duration(r.member.node.LeaseEnd()) * r.member.options.Tick
	r.leaseEnd.Store(int64(end))
}
