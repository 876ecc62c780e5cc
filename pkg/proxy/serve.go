package proxy

import (
	"errors"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

// Times and limits of the wait for an owner.
const (
	// ownerWait bounds the wait for an owner after the loss of a host or target, which is repaired within a second. The
	// wait for a planned move is bounded by the request's deadline only.
	ownerWait = time.Second
	// pollInterval and notifiedPollInterval are the intervals at which a waiting request looks up the owner again, without
	// and with notification of changes.
	pollInterval         = 10 * time.Millisecond
	notifiedPollInterval = 50 * time.Millisecond
	// maxPollInterval bounds the intervals, which double with each wait so that long waits cost little.
	maxPollInterval = 100 * time.Millisecond
	// remotePollInterval applies when the owner is in another data centre, whose ownership table this host does not have.
	remotePollInterval = 50 * time.Millisecond
	// maxWaiting bounds the requests of one handler that wait for an owner.
	maxWaiting = 1024
)

// serve sends the request to the owner. It looks up the owner again only after a refusal with ran = not-run, or, for an
// idempotent request, when the host that had the request gave no valid response.
func (x *exchange) serve() error {
	x.options.Retries.CountRequest()
	var waitedFor error
	for {
		err := x.serveOnce()
		if refusal := apierr.From(err); waitedFor != nil && refusal.Code == apierr.DeadlineExceeded && refusal.Ran == apierr.NotRun {
			// The refusal that made the request wait says more than that its deadline has passed.
			return waitedFor
		}
		if err == nil || x.responseStarted || errors.Is(err, errAborted) {
			return err
		}
		if bodyErr := x.body.readError(); bodyErr != nil {
			return x.bodyRefusal(err, bodyErr)
		}
		if x.ctx.Err() != nil || !x.body.replayable() {
			return err
		}
		refusal := apierr.From(err)
		if !x.waitForOwner(refusal) && !x.mayRetry(refusal) {
			return err
		}
		waitedFor = err
	}
}

// bodyRefusal returns the error of the caller's body as a refusal, with ran from err: whether the target may have run the
// part of the body that it received depends on how far the request got.
func (x *exchange) bodyRefusal(err, bodyErr error) error {
	refusal := *apierr.From(bodyErr)
	refusal.Ran = apierr.From(err).Ran
	return apierr.Wrap(&refusal)
}

func (x *exchange) serveOnce() error {
	x.peerLost = false
	p, err := x.locate()
	if err != nil {
		x.logDecision(p, string(apierr.From(err).Code))
		return err
	}
	if p.local {
		return x.serveAttached(p)
	}
	return x.forward(p)
}

// waitForOwner waits until the owner may have changed; it reports false when the refusal is final. A request forwarded by
// a host of this data centre is refused at once, because that host does the waiting.
func (x *exchange) waitForOwner(refusal *apierr.Refusal) bool {
	if refusal.Ran != apierr.NotRun || x.fromOwnDataCentre || x.skipOwnerWait {
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
	defer x.telemetry.waitingForOwner.Add(-1)
	if x.telemetry.waitingForOwner.Add(1) > maxWaiting {
		return false
	}
	return x.waitForChange()
}

// waitForChange waits for a change of the ownership table or for the poll interval. It reports false when the request's
// context ended.
func (x *exchange) waitForChange() bool {
	interval := pollInterval
	var changed <-chan struct{}
	dataCentre, _, ok := x.options.Directory.Delegation(x.resolution.Keyspace, x.shard)
	switch {
	case ok && dataCentre != x.options.Directory.Self().DataCentre:
		interval = remotePollInterval
	case x.options.OwnershipChanged != nil:
		changed, interval = x.options.OwnershipChanged(), notifiedPollInterval
	}
	timer := time.NewTimer(min(interval<<min(x.waitCount, 4), maxPollInterval))
	defer timer.Stop()
	x.waitCount++
	select {
	case <-timer.C:
	case <-changed:
	case <-x.ctx.Done():
		return false
	}
	return true
}

// mayRetry reports whether serve may send the request again, and takes the retry from the budget. This applies to an
// idempotent request whose response was lost between hosts, and to one to a shared service whose first target refused it
// before running it.
func (x *exchange) mayRetry(refusal *apierr.Refusal) bool {
	shed := x.shared() && x.chosenTarget == "" && refusal.Ran == apierr.NotRun && refusal.Code == apierr.Overloaded
	return (x.peerLost || shed) && x.takeRetry(refusal)
}

// takeRetry takes a further attempt from the retry policy and waits for its back-off. It reports false when the request
// must not be sent again.
func (x *exchange) takeRetry(refusal *apierr.Refusal) bool {
	wait, ok := x.options.Retries.AllowRetry(FailedAttempt{
		Idempotent: x.resolution.Idempotent, Ran: refusal.Ran, BodyConsumed: !x.body.replayable(), Left: x.timeLeft(),
		RetryAfter: 0, Retries: x.retries,
	})
	x.mayHaveRun = x.mayHaveRun || refusal.Ran != apierr.NotRun
	// The rule for non-idempotent requests is repeated here, because I8 must not depend on the configured policy.
	if !ok || (!x.resolution.Idempotent && refusal.Ran != apierr.NotRun) {
		return false
	}
	x.retries++
	x.telemetry.countRetry(x.service)
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
