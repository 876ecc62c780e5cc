package proxy

import (
	"errors"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// Waiting for an owner.
const (
	// ownerWait bounds the wait for an owner after a loss, which is repaired within a second. A planned move is waited
	// for up to the deadline.
	ownerWait = time.Second
	// pollInterval and changeInterval are how often a waiting request looks again, without and with notice of changes.
	pollInterval   = 10 * time.Millisecond
	changeInterval = 50 * time.Millisecond
	// maxPollInterval ends the doubling of the intervals, so that requests that wait long cost little.
	maxPollInterval = 100 * time.Millisecond
	// farPollInterval is used when the owner is in another data centre, whose table this host does not have.
	farPollInterval = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait at one host.
	maxWaiting = 1024
)

// serve carries the request to the owner. It looks for the owner again only after a refusal that was certainly not run,
// or, for an idempotent request, when the host that had it is gone.
func (x *exchange) serve() error {
	x.options.Retries.CountRequest()
	var waitedFor error
	for {
		err := x.serveOnce()
		if refusal := apierr.From(err); waitedFor != nil && refusal.Code == apierr.DeadlineExceeded && refusal.Ran == apierr.NotRun {
			// What the request waited for tells more than that its time is over.
			return waitedFor
		}
		if err == nil || x.answering || errors.Is(err, errAborted) {
			return err
		}
		if bad := x.body.failure(); bad != nil {
			return x.callerFault(err, bad)
		}
		if x.ctx.Err() != nil || !x.body.replayable() {
			return err
		}
		refusal := apierr.From(err)
		if !x.waitForOwner(refusal) && !x.tryElsewhere(refusal) {
			return err
		}
		waitedFor = err
	}
}

// callerFault reports what was wrong with the caller's body. Whether the target ran the part that it got follows from
// how far the request went.
func (x *exchange) callerFault(err, bad error) error {
	refusal := *apierr.From(bad)
	refusal.Ran = apierr.From(err).Ran
	return apierr.Wrap(&refusal)
}

func (x *exchange) serveOnce() error {
	x.peerLost = false
	p, err := x.locate()
	if err != nil {
		x.decide(p, string(apierr.From(err).Code))
		return err
	}
	if p.local {
		return x.serveAttached(p)
	}
	return x.forward(p)
}

// waitForOwner waits until the owner may have changed. A request from a host of this data centre is refused at once,
// because that host waits.
func (x *exchange) waitForOwner(refusal *apierr.Refusal) bool {
	if refusal.Ran != apierr.NotRun || x.fromHere || x.noWait {
		return false
	}
	switch refusal.Code {
	case apierr.Moving:
	case apierr.NoOwner, apierr.OwnerUnreachable, apierr.Draining:
		if x.options.Clock()-x.started > ownerWait {
			return false
		}
	default:
		return false
	}
	defer x.telemetry.waiting.Add(-1)
	if x.telemetry.waiting.Add(1) > maxWaiting {
		return false
	}
	return x.pauseForChange()
}

func (x *exchange) pauseForChange() bool {
	interval := pollInterval
	var changed <-chan struct{}
	dataCentre, _, ok := x.options.Directory.Delegation(x.resolution.Keyspace, x.shard)
	switch {
	case ok && dataCentre != x.options.Directory.Self().DataCentre:
		interval = farPollInterval
	case x.options.OwnershipChanged != nil:
		changed, interval = x.options.OwnershipChanged(), changeInterval
	}
	timer := time.NewTimer(min(interval<<min(x.pauses, 4), maxPollInterval))
	defer timer.Stop()
	x.pauses++
	select {
	case <-timer.C:
	case <-changed:
	case <-x.ctx.Done():
		return false
	}
	return true
}

// tryElsewhere sends the request again within the budget: an idempotent one whose answer was lost between hosts, or one to
// a shared service that its first target refused before running it.
func (x *exchange) tryElsewhere(refusal *apierr.Refusal) bool {
	shed := x.shared() && x.chosen == "" && refusal.Ran == apierr.NotRun && refusal.Code == apierr.Overloaded
	return (x.peerLost || shed) && x.mayRetry(refusal)
}

// mayRetry asks for a further attempt and waits the pause before it.
func (x *exchange) mayRetry(refusal *apierr.Refusal) bool {
	wait, ok := x.options.Retries.AllowRetry(FailedAttempt{
		Idempotent: x.resolution.Idempotent, Ran: refusal.Ran, BodyConsumed: !x.body.replayable(), Left: x.left(),
		RetryAfter: 0, Retries: x.retries,
	})
	x.mayHaveRun = x.mayHaveRun || refusal.Ran != apierr.NotRun
	// The rule for non-idempotent requests is repeated here, because I8 must not depend on the policy that is plugged in.
	if !ok || (!x.resolution.Idempotent && refusal.Ran != apierr.NotRun) {
		return false
	}
	x.retries++
	x.telemetry.retry(x.service)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}
