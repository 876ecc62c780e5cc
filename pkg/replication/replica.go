package replication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"

	"github.com/ansel1/merry/v2"
)

const (
	// maxInboxBatches limits the batches in the inbox. Further batches are dropped, as a network may lose them too.
	maxInboxBatches = 1024
	// maxCycleInputs limits the inputs handled in one cycle, so that ticks are not delayed, and the calls that are queued.
	maxCycleInputs = 1024
)

// Replica runs one member of a group. It is safe for concurrent use.
type Replica struct {
	driver    *driver
	startTime time.Time
	inbox     chan *schemav1.RaftBatch
	calls     chan func()
	stop      chan struct{}
	stopOnce  sync.Once
	// done is closed when the goroutine has ended. err is set before that.
	done chan struct{}
	err  error
	// leaseEnd is the end of the leader lease as a time since startTime, or 0 without a lease.
	leaseEnd atomic.Int64
	mutex    sync.Mutex
	status   Status
	// completeAt is the time since startTime at which the applied state was last known to be complete; see raft.Node.CompleteAt.
	completeAt        time.Duration
	completenessKnown bool
	// membersRefreshedAt is the tick of the last refresh of status.Members.
	membersRefreshedAt uint64
}

// New loads the storage and starts the replica. If it succeeds, the replica owns the storage and closes it when it ends. The
// error is an *OperationError.
func New(options Options) (*Replica, error) {
	options.setDefaults()
	r := &Replica{
		startTime: options.Clock.Now(),
		inbox:     make(chan *schemav1.RaftBatch, maxInboxBatches),
		calls:     make(chan func(), maxCycleInputs),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	var err error
	if r.driver, err = newDriver(options); err != nil {
		return nil, err
	}
	r.driver.beforeSend = r.publishLease
	r.publishStatus()
	go r.run()
	return r, nil
}

// run is the goroutine of the replica.
func (r *Replica) run() {
	defer close(r.done)
	defer r.leaseEnd.Store(0)
	if err := guard.Run("replica", r.loop); err != nil {
		// After a panic nothing more is saved or sent: the state in memory may differ from the log.
		r.close(err)
	}
}

// loop runs cycles until the replica stops. It wakes up for inputs and at the next timeout, not at every tick, so that an idle member
// wakes up rarely.
func (r *Replica) loop() error {
	clock := r.driver.options.Clock
	timerDue := r.driver.nextWakeup()
	timer := clock.NewTimer(timerDue - clock.Since(r.startTime))
	defer timer.Stop()
	for {
		var batches []*schemav1.RaftBatch
		var calls []func()
		select {
		case <-r.stop:
			r.close(nil)
			return nil
		case <-timer.Chan():
			timerDue = 0
		case batch := <-r.inbox:
			batches = append(batches, batch)
		case call := <-r.calls:
			calls = append(calls, call)
		}
		batches, calls = r.drainQueues(batches, calls)
		if err := r.runCycle(batches, calls); err != nil {
			return err
		}
		// The timer is not moved to a later time. One that fires too early costs one idle cycle, while a reset with every
		// heartbeat would cost more.
		if due := r.driver.nextWakeup(); timerDue == 0 || due < timerDue {
			timerDue = due
			timer.Reset(max(due-clock.Since(r.startTime), 0))
		}
	}
}

// drainQueues adds the other queued inputs, so that one save covers all of them.
func (r *Replica) drainQueues(batches []*schemav1.RaftBatch, calls []func()) ([]*schemav1.RaftBatch, []func()) {
	for range maxCycleInputs {
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

// runCycle handles the inputs and does the work that results from them.
func (r *Replica) runCycle(batches []*schemav1.RaftBatch, calls []func()) error {
	r.driver.advanceTime(r.driver.options.Clock.Since(r.startTime))
	for _, batch := range batches {
		if err := r.driver.step(batch); err != nil {
			return err
		}
	}
	for _, call := range calls {
		call()
	}
	err := r.driver.processReady()
	r.driver.completeSeals(err)
	r.publishStatus()
	return err
}

// close ends the replica and closes its storage. err is why the replica failed, or nil if Stop was called.
func (r *Replica) close(err error) {
	r.leaseEnd.Store(0)
	r.err = err
	cause := err
	if cause == nil {
		cause = &StoppedError{}
	}
	r.driver.failPending(cause)
	if closeErr := r.driver.options.Storage.Close(); closeErr != nil && r.err == nil {
		r.err = merry.Wrap(&OperationError{OperationSave, closeErr})
	}
}

// Stop ends the replica, closes its storage and waits until both are done.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

// Done returns a channel that is closed once the replica has ended, after Stop or a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the *OperationError that ended the replica or that closing its storage failed with, or nil. It may be called
// only after the channel of Done is closed.
func (r *Replica) Err() error { return r.err }

// Step queues a batch of messages from another member. It does not block: the batch is dropped if the inbox is full. The
// error is a *WrongGroupError.
func (r *Replica) Step(batch *schemav1.RaftBatch) error {
	options := &r.driver.options
	if batch.GetGroup() != options.Group || batch.GetGeneration() != options.Generation {
		return merry.Wrap(&WrongGroupError{batch.GetGroup(), batch.GetGeneration()})
	}
	select {
	case r.inbox <- batch:
	default:
	}
	return nil
}

// callResult is the outcome of a call that the goroutine has completed.
type callResult struct {
	result []byte
	err    error
}

// runAndWait makes the goroutine call start, and waits until start has passed an outcome to its callback.
func (r *Replica) runAndWait(ctx context.Context, start func(done)) ([]byte, error) {
	outcomes := make(chan callResult, 1)
	call := func() { start(func(result []byte, err error) { outcomes <- callResult{result, err} }) }
	select {
	case r.calls <- call:
	case <-r.done:
		return nil, merry.Wrap(r.endError())
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
			// The goroutine ended before it took the call from the queue.
			return nil, merry.Wrap(r.endError())
		}
	}
}

// endError returns the error of calls after the replica has ended.
func (r *Replica) endError() error {
	if r.err != nil {
		return r.err
	}
	return &StoppedError{}
}

// Propose replicates a command and returns the result of the state machine for it. The errors *NotLeaderError,
// *RefusedError, *ProposalReplacedError, *StoppedError and *OperationError mean that the command is not applied, as does the
// error of ctx if it ends before the call is queued. *OutcomeUnknownError means that the command may be applied.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return r.runAndWait(ctx, func(done done) { r.driver.propose(command, done) })
}

// ReadBarrier returns once the local state machine has applied everything that was committed before the call. It succeeds
// only on the leader and returns the errors of Propose.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	_, err := r.runAndWait(ctx, func(done done) { r.driver.read(done) })
	return err
}

// HoldsLease reports whether this member holds a valid leader lease now.
func (r *Replica) HoldsLease() bool {
	end := time.Duration(r.leaseEnd.Load())
	return end > 0 && r.driver.options.Clock.Since(r.startTime) < end
}

// publishLease makes the current end of the lease visible to HoldsLease.
func (r *Replica) publishLease() {
	end := time.Duration(r.driver.node.LeaseEnd()) * r.driver.options.Tick
	r.leaseEnd.Store(int64(end))
}
