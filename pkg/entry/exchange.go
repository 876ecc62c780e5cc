package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/suspects"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// queueWaitDivisor divides the latency objective into the longest time that a request is queued for a target. Longer
	// waits end in late responses, while a caller that is refused early can still retry in time.
	queueWaitDivisor = 8
	// moveWaitDivisor divides the latency objective into the longest time that a request waits for a key that is moving to
	// its next owner.
	moveWaitDivisor = 3
	// keyRetryDelay is the pause before the request is sent again to a target that did not hold the key yet.
	keyRetryDelay = 40 * time.Millisecond
	// maxUnsentAttempts bounds the attempts that reached no target, for example because the connection failed. They cost
	// only time, so they do not count as sends.
	maxUnsentAttempts = 4
	// lateResponseMargin is the time after the deadline of a request during which a response of the target is still accepted.
	lateResponseMargin = 40 * time.Millisecond
	// minAttemptTime is the least time left before the deadline at which a further attempt is worth sending.
	minAttemptTime = 50 * time.Millisecond
	// resultCallerLeft is the result of a request whose caller has closed its connection.
	resultCallerLeft = "caller-left"
)

// exchange is the handling of one request of a caller. Times are relative to the start of the host.
type exchange struct {
	host    *Host
	w       http.ResponseWriter
	r       *http.Request
	id      string
	route   *routes.Route
	service string
	// requiresKey is set if the configuration by which the request was accepted requires keys of tenants. tenant is that of the key, or nil.
	requiresKey bool
	tenant      *routes.Tenant
	// permittedRegions are the only regions whose targets may run the request; empty means all.
	permittedRegions []string
	// quotaTaken is set once the request has been taken from the quota of its tenant, and refused once the caller was told that it did not run.
	quotaTaken, refused bool
	// exclusive is set when the service is exclusive and the request must go to the owner of key.
	exclusive bool
	key       uint32
	// owner is the target that was last known to own the key.
	owner       string
	requestBody requestBody
	started     time.Duration
	deadline    time.Duration
	// triedTargets are the IDs of targets that must not be chosen again.
	triedTargets []string
	// sends counts the attempts that reached a target, and all hedges; unsent counts those that certainly reached none.
	sends, unsent int
	// hedges counts the requests to a second target while the first was still working.
	hedges int
	// streamCancels cancel the contexts of responses whose bodies are streamed to the caller.
	streamCancels []context.CancelFunc
	// mayHaveRun is set once an attempt may have run the request. The caller must then not be told that it did not run.
	mayHaveRun bool
	// brokeAt is when a connection last broke on which the request had been sent, relative to the start of the host; 0 if none did.
	brokeAt atomic.Int64
	// connectionBroke is set once a connection has broken on which the request had been sent.
	connectionBroke bool
	// errorResponse is the last 5xx response of a target that was read completely. It is held back while further attempts are made.
	errorResponse *response
	// target is the ID of the last target.
	target string
	// openChoice is the choice of the attempt in progress, or nil.
	openChoice *dispatch.Choice
	// viewVersion is the version of the view that the last choice was based on, and lastChoice that choice; both are logged.
	viewVersion uint64
	lastChoice  dispatch.Choice
	// slotWait is the time that the request has waited for turns, scheduler the host that was asked last, and slotRefusal the refusal of the
	// last search for a turn, or nil.
	slotWait    time.Duration
	scheduler   string
	slotRefusal *slotRefusal
	// requestFingerprint is set by fingerprintOnce.
	requestFingerprint suspects.Fingerprint
	fingerprintOnce    sync.Once
}

// timeLeft is the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline - x.host.now() }

// run makes attempts until there is a response for the caller, and returns the result for the log.
func (x *exchange) run(ctx context.Context) string {
	x.host.dispatcher.RecordRequest(x.host.now(), x.service)
	defer func() {
		for _, cancel := range x.streamCancels {
			cancel()
		}
		if x.openChoice != nil {
			// The attempt panicked, or its response was aborted. Its slot must not stay taken.
			x.finishAttempt(x.openChoice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
		}
	}()
	for {
		if verdict, after := x.suspicion(); verdict == suspects.Blocked {
			return x.refuseSuspect(after)
		}
		choice, reason := x.chooseTarget(ctx)
		if ctx.Err() != nil {
			if choice != nil {
				x.finishAttempt(choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			}
			return resultCallerLeft
		}
		if choice == nil {
			return x.endWithoutTarget(reason)
		}
		x.openChoice = choice
		if verdict, after := x.suspicion(); verdict == suspects.Blocked {
			// It became known while the request was queued.
			x.finishAttempt(choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			return x.refuseSuspect(after)
		}
		// Only now, because the request may have waited, and what waited together would run beyond the rate of its tenant.
		if refused := x.takeQuota(); refused != "" {
			x.finishAttempt(choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			return refused
		}
		result, retry := x.attempt(ctx, choice)
		if !retry {
			return result
		}
	}
}

// finishAttempt ends an attempt.
func (x *exchange) finishAttempt(choice *dispatch.Choice, result dispatch.Result) {
	if choice == x.openChoice {
		x.openChoice = nil
	}
	x.recordResult(choice, result)
}

// recordResult reports the result of an attempt to the dispatcher, the key loads and the metrics. It may be called by any goroutine.
func (x *exchange) recordResult(choice *dispatch.Choice, result dispatch.Result) {
	now := x.host.now()
	x.host.dispatcher.Finish(now, choice, result)
	if x.host.slots != nil {
		x.host.slots.asker.release(choice, result)
	}
	x.host.suspects.isolation.Leave(choice)
	if x.exclusive && (result.Outcome == dispatch.OutcomeAnswered || result.Outcome == dispatch.OutcomeTimedOut) {
		x.host.keyLoads.recordResponse(x.service, choice.ID, result.Latency)
	}
	x.host.requestMetrics.recordAttempt(choice.Service, result.Outcome, result.Latency)
	x.host.dispatcher.DispatchWaiting(now)
	x.host.notifyLoadChanged()
}

// dispatchRequest describes the request to the dispatcher.
func (x *exchange) dispatchRequest() *dispatch.Request {
	return &dispatch.Request{
		Service: x.service, Route: x.route.Name + x.service, AllowedRegions: x.permittedRegions, LargeResponse: x.route.Kind == routes.Download,
		ExcludedTargets: x.triedTargets, Priority: x.rank(), TimeToDeadline: x.timeLeft(), TimeToObjective: x.timeToObjective(),
	}
}

// chooseTarget chooses a target. If none can take the request now, the request is queued for a part of its latency objective.
func (x *exchange) chooseTarget(ctx context.Context) (*dispatch.Choice, dispatch.Reason) {
	request := x.dispatchRequest()
	if x.exclusive {
		owner, reason := x.awaitOwner(ctx)
		if owner == "" {
			return nil, reason
		}
		x.owner = owner
		request.Owner, request.ExcludedTargets = owner, nil
	}
	x.viewVersion = x.host.current().version
	x.slotRefusal = nil
	// A slot scheduler has the whole rate of a cold target.
	request.ExcludeCold = !x.exclusive && x.scheduledService() != nil
	choose := func(r *dispatch.Request) (*dispatch.Choice, dispatch.Reason) {
		return x.host.dispatcher.Choose(x.host.now(), r)
	}
	if !x.exclusive && (x.connectionBroke || x.isSuspect()) {
		choose = x.chooseIsolated
	} else if !x.exclusive {
		if choice, reason, decided := x.chooseScheduled(ctx, request); decided {
			return choice, reason
		}
	}
	choice, reason := choose(request)
	if choice != nil {
		x.host.notifyLoadChanged()
		return choice, ""
	}
	if reason != dispatch.ReasonBusy && reason != dispatch.ReasonColdOnly && reason != dispatch.ReasonLate {
		return nil, reason
	}
	maxWait := x.started + x.route.LatencyObjective/queueWaitDivisor - x.host.now()
	if maxWait <= 0 {
		return nil, reason
	}
	waiter := x.host.dispatcher.Enqueue(request)
	timer := time.NewTimer(min(maxWait, x.timeLeft()))
	defer timer.Stop()
	select {
	case choice := <-waiter.Ready:
		x.host.notifyLoadChanged()
		return choice, ""
	case <-timer.C:
	case <-ctx.Done():
	}
	return x.host.dispatcher.CancelWait(waiter), reason
}

// awaitOwner returns the ID of the target that owns the key. While the key moves to another owner, it waits for a part of the
// latency objective.
func (x *exchange) awaitOwner(ctx context.Context) (string, dispatch.Reason) {
	waitUntil := x.started + x.route.LatencyObjective/moveWaitDivisor
	for {
		viewChanged := x.host.viewChanged.wait()
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
		maxWait := waitUntil - x.host.now()
		if maxWait <= 0 {
			klog.InfoS("key has no owner that may be asked", "request", x.id, "service", x.service, "first", r.GetFirst(), "last", r.GetLast(),
				"owner", r.GetOwner(), "ownerLife", owner.GetLife(), "fence", r.GetFence(), "state", r.GetState(), "viewVersion", v.version)
			return "", dispatch.ReasonNoTarget
		}
		select {
		case <-viewChanged:
		case <-time.After(maxWait):
		case <-ctx.Done():
			return "", dispatch.ReasonNoTarget
		}
	}
}

// attempt sends the request to one target, hedged if the route allows it. retry is set when a further attempt must be made;
// otherwise the exchange has ended.
func (x *exchange) attempt(ctx context.Context, choice *dispatch.Choice) (result string, retry bool) {
	attempted := x.sendHedged(ctx, choice)
	choice = attempted.choice
	x.openChoice = choice
	x.target, x.lastChoice = choice.ID, *choice
	if attempted.response == nil {
		return x.handleSendFailure(ctx, attempted)
	}
	x.sends++
	targetResponse, raw := attempted.response, attempted.response.raw
	outcome := dispatch.Result{Outcome: dispatch.OutcomeAnswered, Report: x.loadReport(raw), Latency: attempted.latency}
	if attempted.err != nil {
		outcome.Outcome = dispatch.OutcomeFailed
		if ctx.Err() != nil {
			outcome.Outcome = dispatch.OutcomeCancelled
		}
		x.finishAttempt(choice, outcome)
		if !targetResponse.notRun {
			x.mayHaveRun = true
		}
		klog.InfoS("answer not usable", "request", x.id, "target", choice.ID, "err", attempted.err)
		return x.retry(choice, "bad-answer")
	}
	switch {
	case targetResponse.notRun:
		return x.handleNotRun(ctx, choice, targetResponse, outcome)
	case raw.StatusCode >= http.StatusInternalServerError:
		outcome.Outcome = dispatch.OutcomeFailed
		x.finishAttempt(choice, outcome)
		x.mayHaveRun = true
		if x.route.Kind.Idempotent() && raw.StatusCode != http.StatusGatewayTimeout && x.mayRetry(choice) {
			targetResponse.discard()
			if targetResponse.complete {
				x.errorResponse = targetResponse
			}
			return "", true
		}
		return targetResponse.deliver(x), false
	}
	if targetResponse.complete {
		x.finishAttempt(choice, outcome)
		return targetResponse.deliver(x), false
	}
	// A streamed response occupies the target until its end, so the attempt is finished after the delivery.
	delivered := targetResponse.deliver(x)
	x.finishAttempt(choice, outcome)
	return delivered, false
}

// handleNotRun handles resp, in which the target states that it did not run the request.
func (x *exchange) handleNotRun(ctx context.Context, choice *dispatch.Choice, resp *response, outcome dispatch.Result) (string, bool) {
	resp.discard()
	misdirected := resp.raw.StatusCode == http.StatusMisdirectedRequest
	outcome.Outcome = dispatch.OutcomeShed
	if misdirected && !x.exclusive {
		outcome.Outcome = dispatch.OutcomeReplaced
	}
	x.finishAttempt(choice, outcome)
	klog.InfoS("attempt refused", "request", x.id, "target", choice.ID, "status", resp.raw.StatusCode, "inFlight", choice.InFlight,
		"reportAge", choice.ReportAge, "after", outcome.Latency)
	if !x.mayRetry(choice) {
		return x.endWithoutTarget(dispatch.ReasonRefused), false
	}
	if misdirected && x.exclusive {
		monotonic.Sleep(ctx, keyRetryDelay)
	}
	return "", true
}

// handleSendFailure handles an attempt without a response.
func (x *exchange) handleSendFailure(ctx context.Context, result *attemptResult) (string, bool) {
	choice, failed := result.choice, result.failure()
	outcome := dispatch.Result{Outcome: dispatch.OutcomeConnectionFailed, Latency: result.latency}
	switch {
	case ctx.Err() != nil, x.requestBody.restFailed.Load():
		outcome.Outcome = dispatch.OutcomeCancelled
	case failed.Stage == upstream.InvalidResponse:
		outcome.Outcome = dispatch.OutcomeFailed
	case failed.Stage == upstream.Sent && failed.Timeout():
		outcome.Outcome = dispatch.OutcomeTimedOut
	case failed.Stage == upstream.Sent && failed.Reused:
		// The target may have closed an idle connection, which says nothing about its health.
		outcome.Outcome = dispatch.OutcomeFailed
	}
	x.finishAttempt(choice, outcome)
	klog.InfoS("attempt failed", "request", x.id, "fingerprint", x.fingerprint(), "target", choice.ID, "address", choice.Address, "stage", failed.Stage,
		"reused", failed.Reused, "after", outcome.Latency, "err", failed.Cause)
	if ctx.Err() != nil {
		x.mayHaveRun = x.mayHaveRun || failed.Stage != upstream.NotSent
		return resultCallerLeft, false
	}
	if failed.Stage == upstream.NotSent {
		x.unsent++
		if !x.exclusive {
			x.triedTargets = append(x.triedTargets, choice.ID)
		}
		if x.unsent < maxUnsentAttempts && x.timeLeft() > minAttemptTime {
			return "", true
		}
		return x.endWithoutTarget(dispatch.ReasonUnreachable), false
	}
	x.sends++
	x.mayHaveRun = true
	x.connectionBroke = x.connectionBroke || !failed.Timeout() && !x.requestBody.restFailed.Load()
	return x.retry(choice, "no-answer")
}

// retry reports whether a request that may have run is sent again. If not, it sends an error response to the caller and returns
// the result for the log.
func (x *exchange) retry(choice *dispatch.Choice, failure string) (string, bool) {
	if x.route.Kind.Idempotent() && !x.isSuspect() && x.mayRetry(choice) {
		return "", true
	}
	if x.timeLeft() <= 0 {
		return x.writeError(http.StatusGatewayTimeout, "deadline"), false
	}
	return x.writeError(http.StatusBadGateway, failure), false
}

// mayRetry reports whether the request may be sent again, and takes the retry from the budget of the service.
func (x *exchange) mayRetry(choice *dispatch.Choice) bool {
	if x.sends >= max(1, x.route.MaxSends) || x.timeLeft() <= minAttemptTime || x.requestBody.restTaken {
		return false
	}
	if !x.host.dispatcher.TakeRetry(x.host.now(), x.service) {
		return false
	}
	if !x.exclusive {
		x.triedTargets = append(x.triedTargets, choice.ID)
	}
	return true
}

// endWithoutTarget responds to the caller when no further target can be used: with the last 5xx response if there is one, with
// an error if the request may have run, else with a refusal.
func (x *exchange) endWithoutTarget(reason dispatch.Reason) string {
	switch {
	case x.errorResponse != nil:
		return x.errorResponse.deliver(x)
	case x.mayHaveRun && x.timeLeft() <= 0:
		return x.writeError(http.StatusGatewayTimeout, "deadline")
	case x.mayHaveRun:
		return x.writeError(http.StatusBadGateway, string(reason))
	}
	request := x.dispatchRequest()
	request.Owner = x.owner
	if left, all := x.host.dispatcher.PauseLeft(x.host.now(), request); all {
		return x.refuse(dispatch.ReasonPaused, left)
	}
	if x.slotRefusal != nil && x.slotRefusal.reason == reason {
		return x.refuse(reason, x.slotRefusal.retryAfter)
	}
	return x.refuse(reason, x.host.dispatcher.RetryAfter(x.route.Name+x.service, reason))
}

// refuse responds with 503, which states that the request did not run, and with the time to retry after.
func (x *exchange) refuse(reason dispatch.Reason, after time.Duration) string {
	x.setRetryAfter(after)
	x.refused = true
	return x.writeError(http.StatusServiceUnavailable, string(reason))
}

// setRetryAfter tells the caller when to return.
func (x *exchange) setRetryAfter(after time.Duration) {
	// Rounded up, because a caller that returns too early is refused again.
	after = (after + time.Millisecond - 1).Truncate(time.Millisecond)
	x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// writeError sends an error response of this host.
func (x *exchange) writeError(status int, code string) string {
	return writeError(x.w, x.host.options.Protocol, x.id, status, code)
}

// loadReport decodes the load report in a response; nil when there is no valid one.
func (x *exchange) loadReport(raw *upstream.Response) *dispatch.TargetLoad {
	loadReport, ok := x.host.options.Protocol.ParseLoad(raw.Header.Get(x.host.options.Protocol.LoadHeader))
	if !ok {
		return nil
	}
	return &loadReport
}

// upstreamRequest builds the request for one target.
func (x *exchange) upstreamRequest(choice *dispatch.Choice) *upstream.Request {
	p := x.host.options.Protocol
	header := endToEndHeaders(x.r.Header)
	x.setTenantHeaders(header)
	header[p.RequestIDHeader] = []string{x.id}
	header[p.DeadlineHeader] = []string{strconv.FormatInt(max(1, x.timeLeft().Milliseconds()), 10)}
	header[p.TargetHeader] = []string{choice.ID}
	return &upstream.Request{
		PoolKey: choice.ID + " " + strconv.FormatInt(choice.StartedUnixMs, 10) + " " + choice.Address,
		Address: choice.Address, Method: x.r.Method, URI: requestURI(x.r), Host: x.r.Host, Header: header,
		Body: x.requestBody.prefix, BodyRest: x.requestBody.takeRest(), ContentLength: x.requestBody.length, ID: x.id,
		Deadline: time.Now().Add(x.timeLeft() + lateResponseMargin),
	}
}

// requestURI returns the URI exactly as the caller sent it, so that the target gets the same bytes.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
