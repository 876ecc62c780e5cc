package registrar

import (
	"context"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/pauses"
	"almondrock.example/almondrock/pkg/registry"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Evacuations, and removals that do not state a start, have no number by which an older one could be told from a newer one. They may arrive
// late: held up by a partition between their caller and this host or between this host and the leader, or by a pause of a host. Their caller
// has then turned to another host and may have given newer orders there, which a late one must not undo. So this host reads from the leader
// what the order refers to, and proposes the order with it. The registry refuses the order if that has changed. That protects only orders that
// are given after the reading, so the order is refused unless the reading has ended while its caller certainly still waited: the time for which
// the order may have waited here counts, and the time for the reading, by a clock that goes on during pauses.

const (
	// maxReadAge is the age of an order up to which it is known, once what it refers to has been read, that its caller has not turned to another
	// host before. Callers do that after a second; the rest is for the way from the caller to this host.
	maxReadAge = 900 * time.Millisecond
	// maxAnnouncementAge is the age up to which an announcement is not late. Targets announce themselves again after a second without an answer.
	maxAnnouncementAge = 600 * time.Millisecond
	// closeDelay is how long the close of a caller's connection may arrive after an order that was held up on the way: a round trip with the
	// caller, the time after which a lost packet is sent again, 200 ms, and the time in which the server notices it. An order that takes up to
	// a second costs nothing.
	closeDelay = 300 * time.Millisecond
	// maxCloseLate is how late the wait for the close may end before the host counts as having stood still in it, and closeReadTime the time
	// for which it then waits on.
	maxCloseLate, closeReadTime = 50 * time.Millisecond, 50 * time.Millisecond
)

// orderCommitter commits orders without a number.
type orderCommitter struct {
	pauses *pauses.Detector
	// sleep is monotonic.Sleep. The model of orders lets it return only when the host does not stand still.
	sleep func(context.Context, time.Duration) bool
	// read reads from the leader what the registry holds now.
	read func(context.Context, *schemav1.CurrentRead) (*schemav1.CurrentReadAnswer, error)
	// propose proposes a command until it is committed or ctx ends.
	propose func(context.Context, *schemav1.RegistryCommand) (*schemav1.RegistryResult, error)
}

// orderCommand returns the command of an order for what the registry held after the order was received.
type orderCommand func(*schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error)

// commit commits an order. ctx ends when the caller leaves.
func (c *orderCommitter) commit(ctx context.Context, read *schemav1.CurrentRead, command orderCommand) error {
	sentAt := c.pauses.EarliestSent()
	waited := c.pauses.Now() - sentAt
	left := maxReadAge - waited
	if left <= 0 {
		return merry.Wrap(ErrPaused, merry.AppendMessagef("for %v of the last second", waited))
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, proposalTimeout)
	defer cancel()
	readCtx, cancelRead := context.WithTimeout(ctx, left)
	defer cancelRead()
	current, err := retry(readCtx, func(ctx context.Context) (*schemav1.CurrentReadAnswer, error) { return c.read(ctx, read) })
	switch {
	case err != nil:
		return err
	case c.pauses.Now()-sentAt >= maxReadAge:
		return merry.Wrap(ErrReadLate)
	}
	if err := c.checkCallerWaits(ctx, caller); err != nil {
		return err
	}
	order, err := command(current)
	if err != nil {
		return err
	}
	result, err := c.propose(ctx, order)
	if err == nil && result.GetOvertaken() {
		err = merry.Wrap(ErrOvertaken)
	}
	return err
}

// checkCallerWaits waits for closeDelay, and returns an error if the caller has left by then or ctx has ended. It waits on if the host stood
// still meanwhile, because it may not have read the end of the connection yet.
func (c *orderCommitter) checkCallerWaits(ctx, caller context.Context) error {
	until := c.pauses.Now() + closeDelay
	inTime := c.sleep(ctx, closeDelay)
	if inTime && c.pauses.Now()-until >= maxCloseLate {
		inTime = c.sleep(ctx, closeReadTime)
	}
	switch {
	case caller.Err() != nil:
		return merry.Wrap(ErrCallerLeft)
	case !inTime:
		return merry.Wrap(ctx.Err())
	}
	return nil
}

// checkWarm returns an error if the announcement of a target that is expected to be cold may be a late one, from before the target became
// cold.
func (c *orderCommitter) checkWarm(ctx context.Context) error {
	if waited := c.pauses.Now() - c.pauses.EarliestSent(); waited >= maxAnnouncementAge {
		return merry.Wrap(ErrPaused, merry.AppendMessagef("for %v of the last second", waited))
	}
	return c.checkCallerWaits(ctx, ctx)
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
	err := r.orders.commit(ctx, &schemav1.CurrentRead{DataCentre: dataCentre}, func(current *schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error) {
		number = current.GetEvacuationOrder()
		return &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{
			DataCentre: dataCentre, Out: evacuated, ExpectedOrder: proto.Uint64(number),
		}}, nil
	})
	klog.InfoS("evacuation ordered", "dataCentre", dataCentre, "out", evacuated, "after", number, "err", err)
	return err
}

// logEvacuationOrder logs what became of an evacuation order on this host.
func (r *Registrar) logEvacuationOrder(o registry.EvacuationOutcome) {
	expected := "none"
	if o.Expected != nil {
		expected = strconv.FormatUint(*o.Expected, 10)
	}
	klog.InfoS("evacuation order applied", "host", r.options.Name, "dataCentre", o.DataCentre, "out", o.Out, "wasOut", o.WasOut,
		"overtaken", o.Overtaken, "after", expected, "number", o.Number, "version", o.Version)
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
		err = r.orders.commit(ctx, &schemav1.CurrentRead{Target: id}, func(current *schemav1.CurrentReadAnswer) (*schemav1.RegistryCommand, error) {
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
