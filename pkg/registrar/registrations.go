package registrar

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// registrations commits registrations of targets in batches: those that arrive while a batch is being committed form the next one. When
// thousands of targets start at the same time, a commit for each would take the group longer than targets wait for an answer.
type registrations struct {
	// propose commits a command.
	propose func(*schemav1.RegistryCommand) error
	// start runs a function in the background.
	start func(func())

	mu sync.Mutex
	// next collects the registrations of the next batch; nil if there is none.
	next *registrationBatch
	// committing is set while a batch is being committed.
	committing bool
}

// registrationBatch is a batch of registrations. err is set before done is closed.
type registrationBatch struct {
	targets []*schemav1.Registration
	done    chan struct{}
	err     error
}

// commit returns when the registration has been committed, or with the error of its batch. The registration may be committed although
// ctx ended before.
func (r *registrations) commit(ctx context.Context, target *schemav1.Registration) error {
	batch := r.add(target)
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return merry.Wrap(ctx.Err())
	}
}

// add adds a registration to the next batch, and starts to commit it if no other batch is being committed.
func (r *registrations) add(target *schemav1.Registration) *registrationBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &registrationBatch{done: make(chan struct{})}
	}
	batch := r.next
	batch.targets = append(batch.targets, target)
	if !r.committing {
		r.committing = true
		r.start(r.commitAll)
	}
	return batch
}

// commitAll commits batches until there is none left.
func (r *registrations) commitAll() {
	for batch := r.take(); batch != nil; batch = r.take() {
		batch.err = guard.Run("commit registrations", func() error {
			return r.propose(batch.command())
		})
		close(batch.done)
	}
}

// command returns the command that commits the batch. A single registration has its own field, which earlier versions know too.
func (b *registrationBatch) command() *schemav1.RegistryCommand {
	command := &schemav1.RegistryCommand{ProposedUnixMs: timeOfDay()}
	if len(b.targets) == 1 {
		command.Registration = b.targets[0]
	} else {
		command.Registrations = b.targets
	}
	return command
}

// take removes and returns the next batch, or nil if there is none.
func (r *registrations) take() *registrationBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.next
	r.next, r.committing = nil, batch != nil
	return batch
}
