package registrar

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Evacuations, and removals that do not state a start, have no number by which an older one could be told from a newer one. They may arrive
// late: held up by a partition between their caller and this host or between this host and the leader, or by a pause of a host. Their caller
// has then turned to another host and may have given newer orders there, which a late one must not undo. So this host refuses what may have
// waited here, reads from the leader what the order refers to, and proposes the order with it. The registry refuses the order if that has
// changed.

const (
	// callerTimeout is the time after which callers give up an order and turn to another host.
	callerTimeout = time.Second
	// closeDelay is how long the close of a caller's connection may arrive after an order that was held up on the way: a round trip with the
	// caller and the time in which the server notices it.
	closeDelay = 50 * time.Millisecond
)

// commitOrder commits an order without a number. command returns the command for what the registry held after the order was received.
func (r *Registrar) commitOrder(
	ctx context.Context, read *schemav1.CurrentRead, command func(*schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error),
) error {
	if err := r.checkNotPaused(); err != nil {
		return err
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, proposalTimeout)
	defer cancel()
	current, err := retry(ctx, func(ctx context.Context) (*schemav1.CurrentReadAnswer, error) { return r.readCurrent(ctx, read) })
	if err != nil {
		return err
	}
	if !monotonic.Sleep(ctx, closeDelay) {
		if caller.Err() != nil {
			return merry.Wrap(ErrCallerLeft)
		}
		return merry.Wrap(ctx.Err())
	}
	order, err := command(current)
	if err != nil {
		return err
	}
	result, err := r.proposeWithRetry(ctx, order)
	if err == nil && result.GetOvertaken() {
		err = merry.Wrap(ErrOvertaken)
	}
	return err
}

// checkNotPaused returns ErrPaused while what this host reads may have waited here for longer than callers wait for an answer.
func (r *Registrar) checkNotPaused() error {
	if r.pauses.SinceLast() < callerTimeout {
		return merry.Wrap(ErrPaused)
	}
	return nil
}

// checkWarm returns an error if the announcement of a target that is expected to be cold may be a late one, from before the target became
// cold.
func (r *Registrar) checkWarm(ctx context.Context) error {
	if err := r.checkNotPaused(); err != nil {
		return err
	}
	if !monotonic.Sleep(ctx, closeDelay) {
		return merry.Wrap(ErrCallerLeft)
	}
	return nil
}

// readCurrent reads from the leader what the registry holds now.
func (r *Registrar) readCurrent(ctx context.Context, read *schemav1.CurrentRead) (*schemav1.CurrentReadAnswer, error) {
	leader, err := r.readBarrier(ctx)
	if err != nil {
		return nil, err
	}
	if leader == "" {
		return r.current(read), nil
	}
	answer := &schemav1.CurrentReadAnswer{}
	return answer, r.client.Call(ctx, leader, methodCurrent, read, answer)
}

func (r *Registrar) handleCurrent(ctx context.Context, read *schemav1.CurrentRead) (*schemav1.CurrentReadAnswer, error) {
	replica := r.currentReplica()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	if err := r.completeState(ctx, replica); err != nil {
		return nil, err
	}
	return r.current(read), nil
}

// current returns what the state of this host holds.
func (r *Registrar) current(read *schemav1.CurrentRead) *schemav1.CurrentReadAnswer {
	target, _ := r.state.Target(read.GetTarget())
	return &schemav1.CurrentReadAnswer{EvacuationOrder: r.state.EvacuationOrder(read.GetDataCentre()), Target: target}
}

// SetEvacuated evacuates a data centre if evacuated is set; otherwise it puts it back into service. It fails with ErrPaused, ErrCallerLeft or
// ErrOvertaken if the order may be older than others for the data centre; it has no effect then.
func (r *Registrar) SetEvacuated(ctx context.Context, dataCentre string, evacuated bool) error {
	number := uint64(0)
	err := r.commitOrder(ctx, &schemav1.CurrentRead{DataCentre: dataCentre}, func(current *schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error) {
		number = current.GetEvacuationOrder()
		return &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{
			DataCentre: dataCentre, Out: evacuated, ExpectedOrder: proto.Uint64(number),
		}}, nil
	})
	klog.InfoS("evacuation ordered", "dataCentre", dataCentre, "out", evacuated, "after", number, "err", err)
	return err
}

// RemoveTarget marks a target as gone. started is the start time of the target in Unix milliseconds, or 0 if it is not known; the target must
// be registered then. It fails with ErrUnknownTarget if it is not, and with ErrPaused, ErrCallerLeft or ErrOvertaken if the removal may be
// older than the start that is registered.
func (r *Registrar) RemoveTarget(ctx context.Context, id string, started int64) error {
	return r.removeTarget(ctx, id, started, nil)
}

// removeTarget marks a target as gone. knownStart is the start that the entry host knew which passes on a removal without a start.
func (r *Registrar) removeTarget(ctx context.Context, id string, started int64, knownStart *int64) error {
	removal := &schemav1.Registration{Id: id, StartedUnixMs: started}
	var err error
	if started != 0 {
		_, err = r.proposeWithRetry(ctx, &schemav1.RegistryCommand{ForgetTarget: removal})
	} else {
		removal.RemovedUnixMs = timeOfDay()
		err = r.commitOrder(ctx, &schemav1.CurrentRead{Target: id}, func(current *schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error) {
			known := current.GetTarget()
			switch {
			case known == nil:
				return nil, merry.Wrap(ErrUnknownTarget)
			case knownStart != nil && known.GetLife() != schemav1.Life_LIFE_GONE && *knownStart != known.GetStartedUnixMs():
				return nil, merry.Wrap(ErrOvertaken)
			}
			removal.StartedUnixMs = known.GetStartedUnixMs()
			return &schemav1.RegistryCommand{ForgetTarget: removal}, nil
		})
	}
	klog.InfoS("target left", "target", id, "started", removal.GetStartedUnixMs(), "stated", started != 0, "err", err)
	return err
}
