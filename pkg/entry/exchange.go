package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// queueShare is the part of its objective that a request waits for a target here. Longer waits end in late answers,
	// and a refused caller can still come back in time.
	queueShare = 8
	// moveShare is the part of its objective that a request waits for keys that are on their way to their next owner.
	moveShare = 3
	// keyPause is the pause before a target is asked again that does not hold a key yet.
	keyPause = 40 * time.Millisecond
	// maxUnsent bounds tries of targets that could not be connected to, which cost nothing but time.
	maxUnsent = 4
	// answerSlack is how long after a request's end the target's own answer may arrive.
	answerSlack = 40 * time.Millisecond
	// leastTime is the time that a further attempt must have left to be worth sending.
	leastTime = 50 * time.Millisecond
)

// exchange is one request of a caller.
type exchange struct {
	host    *Host
	w       http.ResponseWriter
	r       *http.Request
	id      string
	route   *routes.Route
	service string
	// exclusive is set for a request to the owner of key.
	exclusive bool
	key       uint32
	body      body
	started   time.Duration
	deadline  time.Duration
	tried     []string
	// sends counts attempts that reached a target; unsent those that certainly did not.
	sends, unsent int
	// hedges counts requests to a second target while the first was at work; they are among the sends.
	hedges int
	// cancels end the contexts of answers whose bodies are passed on while they arrive.
	cancels []context.CancelFunc
	// mayHaveRun is set once an attempt ended without certainty. No refusal may then say that the request did not run.
	mayHaveRun bool
	// failure is the last answer of a target that was held back for another attempt.
	failure *answer
	target  string
	// viewVersion is the view that the last choice was based on; last is that choice, for the log.
	viewVersion uint64
	last        dispatch.Choice
}

func (x *exchange) left() time.Duration { return x.deadline - x.host.now() }

// run sends the request until it has an answer, and returns the result for the log.
func (x *exchange) run(ctx context.Context) string {
	x.host.core.RecordRequest(x.host.now(), x.service)
	defer func() {
		for _, cancel := range x.cancels {
			cancel()
		}
	}()
	for {
		choice, reason := x.choose(ctx)
		if ctx.Err() != nil {
			if choice != nil {
				x.finish(choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			}
			return "caller-left"
		}
		if choice == nil {
			return x.giveUp(reason)
		}
		result, again := x.attempt(ctx, choice)
		if !again {
			return result
		}
	}
}

func (x *exchange) finish(choice *dispatch.Choice, result dispatch.Result) {
	now := x.host.now()
	x.host.core.Finish(now, choice, result)
	if x.exclusive && (result.Outcome == dispatch.OutcomeAnswered || result.Outcome == dispatch.OutcomeTimedOut) {
		x.host.keyLoads.noteAnswer(x.service, choice.ID, result.Latency)
	}
	x.host.measures.noteAttempt(choice.Service, result.Outcome, result.Latency)
	x.host.core.DispatchWaiting(now)
	x.host.noteLoad()
}

// choiceRequest describes the request to the choice of a target.
func (x *exchange) choiceRequest() *dispatch.Request {
	return &dispatch.Request{
		Service: x.service, Route: x.route.Name + x.service, AllowedRegions: x.route.PermittedRegions, LargeResponse: x.route.Kind == routes.Download,
		ExcludedTargets: x.tried, Priority: x.route.Rank, TimeToDeadline: x.left(), TimeToObjective: x.started + x.route.LatencyObjective - x.host.now(),
	}
}

// choose finds a target, waiting for a while if all are busy.
func (x *exchange) choose(ctx context.Context) (*dispatch.Choice, dispatch.Reason) {
	request := x.choiceRequest()
	if x.exclusive {
		owner, reason := x.awaitOwner(ctx)
		if owner == "" {
			return nil, reason
		}
		request.Owner, request.ExcludedTargets = owner, nil
	}
	x.viewVersion = x.host.current().version
	choice, reason := x.host.core.Choose(x.host.now(), request)
	if choice != nil {
		x.host.noteLoad()
		return choice, ""
	}
	if reason != dispatch.ReasonBusy && reason != dispatch.ReasonColdOnly && reason != dispatch.ReasonLate {
		return nil, reason
	}
	patience := x.started + x.route.LatencyObjective/queueShare - x.host.now()
	if patience <= 0 {
		return nil, reason
	}
	waiter := x.host.core.Enqueue(request)
	timer := time.NewTimer(min(patience, x.left()))
	defer timer.Stop()
	select {
	case choice := <-waiter.Ready:
		x.host.noteLoad()
		return choice, ""
	case <-timer.C:
	case <-ctx.Done():
	}
	return x.host.core.CancelWait(waiter), reason
}

// awaitOwner returns the owner of the key, waiting for a while if the key is on its way.
func (x *exchange) awaitOwner(ctx context.Context) (string, dispatch.Reason) {
	limit := x.started + x.route.LatencyObjective/moveShare
	for {
		changed := x.host.changed.wait()
		v := x.host.current()
		x.viewVersion = v.version
		r, ok := v.owner(x.service, x.key)
		if !ok {
			return "", dispatch.ReasonNoTarget
		}
		owner := v.targets[r.GetOwner()]
		usable := owner != nil && owner.GetStartedUnixMs() == r.GetOwnerStartedUnixMs() &&
			owner.GetLife() == schemav1.Life_LIFE_READY && !slices.Contains(v.evacuated, owner.GetDataCentre())
		if usable && r.GetState() == schemav1.RangeState_RANGE_STATE_ACTIVE {
			return r.GetOwner(), ""
		}
		patience := limit - x.host.now()
		if patience <= 0 {
			klog.InfoS("key has no owner that may be asked", "request", x.id, "service", x.service, "first", r.GetFirst(), "last", r.GetLast(),
				"owner", r.GetOwner(), "ownerLife", owner.GetLife(), "fence", r.GetFence(), "state", r.GetState(), "viewVersion", v.version)
			return "", dispatch.ReasonNoTarget
		}
		select {
		case <-changed:
		case <-time.After(patience):
		case <-ctx.Done():
			return "", dispatch.ReasonNoTarget
		}
	}
}

// attempt sends the request to one target. again tells to choose another one.
func (x *exchange) attempt(ctx context.Context, choice *dispatch.Choice) (result string, again bool) {
	t := x.sendHedged(ctx, choice)
	choice = t.choice
	x.target, x.last = choice.ID, *choice
	if t.answer == nil {
		return x.failedSend(ctx, t)
	}
	x.sends++
	a, response := t.answer, t.answer.response
	outcome := dispatch.Result{Outcome: dispatch.OutcomeAnswered, Report: x.report(response), Latency: t.took}
	if t.err != nil {
		outcome.Outcome = dispatch.OutcomeFailed
		if ctx.Err() != nil {
			outcome.Outcome = dispatch.OutcomeCancelled
		}
		x.finish(choice, outcome)
		if !a.notRun {
			x.mayHaveRun = true
		}
		klog.InfoS("answer not usable", "request", x.id, "target", choice.ID, "err", t.err)
		return x.again(choice, "bad-answer")
	}
	switch {
	case a.notRun:
		return x.notRun(ctx, choice, a, outcome)
	case response.StatusCode >= http.StatusInternalServerError:
		outcome.Outcome = dispatch.OutcomeFailed
		x.finish(choice, outcome)
		x.mayHaveRun = true
		x.failure = a
		if x.route.Kind.Idempotent() && response.StatusCode != http.StatusGatewayTimeout && x.mayResend(choice) {
			return "", true
		}
		return a.deliver(x), false
	}
	if a.whole {
		x.finish(choice, outcome)
		return a.deliver(x), false
	}
	// A long answer occupies the target until its end.
	delivered := a.deliver(x)
	x.finish(choice, outcome)
	return delivered, false
}

// notRun handles an answer that says that the target did not run the request.
func (x *exchange) notRun(ctx context.Context, choice *dispatch.Choice, a *answer, outcome dispatch.Result) (string, bool) {
	misdirected := a.response.StatusCode == http.StatusMisdirectedRequest
	outcome.Outcome = dispatch.OutcomeShed
	if misdirected && !x.exclusive {
		outcome.Outcome = dispatch.OutcomeReplaced
	}
	x.finish(choice, outcome)
	klog.InfoS("attempt refused", "request", x.id, "target", choice.ID, "status", a.response.StatusCode, "inFlight", choice.InFlight,
		"reportAge", choice.ReportAge, "after", outcome.Latency)
	if !x.mayResend(choice) {
		return x.giveUp(dispatch.ReasonRefused), false
	}
	if misdirected && x.exclusive {
		pause(ctx, keyPause)
	}
	return "", true
}

// failedSend handles an attempt without an answer.
func (x *exchange) failedSend(ctx context.Context, t *try) (string, bool) {
	choice, failed := t.choice, t.failure()
	outcome := dispatch.Result{Outcome: dispatch.OutcomeConnectionFailed, Latency: t.took}
	switch {
	case ctx.Err() != nil:
		outcome.Outcome = dispatch.OutcomeCancelled
	case failed.Stage == upstream.InvalidResponse:
		outcome.Outcome = dispatch.OutcomeFailed
	case failed.Stage == upstream.Sent && failed.Timeout():
		outcome.Outcome = dispatch.OutcomeTimedOut
	case failed.Stage == upstream.Sent && failed.Reused:
		// The target may have closed an idle connection, which says nothing about its health.
		outcome.Outcome = dispatch.OutcomeFailed
	}
	x.finish(choice, outcome)
	klog.InfoS("attempt failed", "request", x.id, "target", choice.ID, "address", choice.Address, "stage", failed.Stage,
		"reused", failed.Reused, "after", outcome.Latency, "err", failed.Cause)
	if ctx.Err() != nil {
		x.mayHaveRun = x.mayHaveRun || failed.Stage != upstream.NotSent
		return "caller-left", false
	}
	if failed.Stage == upstream.NotSent {
		x.unsent++
		if !x.exclusive {
			x.tried = append(x.tried, choice.ID)
		}
		if x.unsent < maxUnsent && x.left() > leastTime {
			return "", true
		}
		return x.giveUp(dispatch.ReasonUnreachable), false
	}
	x.sends++
	x.mayHaveRun = true
	return x.again(choice, "no-answer")
}

// again decides whether a request that may have run is sent once more.
func (x *exchange) again(choice *dispatch.Choice, failure string) (string, bool) {
	if x.route.Kind.Idempotent() && x.mayResend(choice) {
		return "", true
	}
	if x.left() <= 0 {
		return x.fail(http.StatusGatewayTimeout, "deadline"), false
	}
	return x.fail(http.StatusBadGateway, failure), false
}

// mayResend decides whether the request may go to one more target, and takes it from the budget.
func (x *exchange) mayResend(choice *dispatch.Choice) bool {
	if x.sends >= max(1, x.route.MaxSends) || x.left() <= leastTime || x.body.spent {
		return false
	}
	if !x.host.core.TakeRetry(x.host.now(), x.service) {
		return false
	}
	if !x.exclusive {
		x.tried = append(x.tried, choice.ID)
	}
	return true
}

// giveUp ends a request for which there is no target.
func (x *exchange) giveUp(reason dispatch.Reason) string {
	switch {
	case x.failure != nil:
		return x.failure.deliver(x)
	case x.mayHaveRun && x.left() <= 0:
		return x.fail(http.StatusGatewayTimeout, "deadline")
	case x.mayHaveRun:
		return x.fail(http.StatusBadGateway, string(reason))
	}
	return x.refuse(reason, x.host.core.RetryAfter(x.route.Name+x.service, reason))
}

// refuse answers that the request did not run and when to come back.
func (x *exchange) refuse(reason dispatch.Reason, after time.Duration) string {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return x.fail(http.StatusServiceUnavailable, string(reason))
}

// fail answers with a status of this host's own.
func (x *exchange) fail(status int, code string) string {
	return fail(x.w, x.host.options.Protocol, x.id, status, code)
}

func (x *exchange) report(response *upstream.Response) *dispatch.TargetLoad {
	report, ok := x.host.options.Protocol.ParseLoad(response.Header.Get(x.host.options.Protocol.LoadHeader))
	if !ok {
		return nil
	}
	return &report
}

// request makes the request for one target.
func (x *exchange) request(choice *dispatch.Choice) *upstream.Request {
	p := x.host.options.Protocol
	header := endToEnd(x.r.Header)
	header[p.RequestIDHeader] = []string{x.id}
	header[p.DeadlineHeader] = []string{strconv.FormatInt(max(1, x.left().Milliseconds()), 10)}
	header[p.TargetHeader] = []string{choice.ID}
	return &upstream.Request{
		PoolKey: choice.ID + " " + strconv.FormatInt(choice.StartedUnixMs, 10) + " " + choice.Address,
		Address: choice.Address, Method: x.r.Method, URI: requestURI(x.r), Host: x.r.Host, Header: header,
		Body: x.body.start, BodyRest: x.body.take(), ContentLength: x.body.length, ID: x.id,
		Deadline: time.Now().Add(x.left() + answerSlack),
	}
}

// requestURI is the request target as the caller sent it, so that the target sees the same bytes.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
