package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/internal/notice"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// hedgeFactor is the multiple of its expected latency after which a request is hedged, that is, sent to a second target.
	// Processing times vary with the request, so an earlier hedge would mostly repeat work that is about to end.
	hedgeFactor = 2
	// hedgeTimePercent is the time that the second target needs to respond within the latency objective, as a percentage
	// of the base duration.
	hedgeTimePercent = 130
)

// attemptResult is the result of sending a request to one target.
type attemptResult struct {
	choice *dispatch.Choice
	// latency is the time until the response or the failure.
	latency time.Duration
	// response is nil when no response arrived; err is then the failure. Otherwise err, if any, is why the response cannot be
	// used.
	response *response
	err      error
}

// failure returns the error of an attempt without a response.
func (r *attemptResult) failure() *upstream.Error {
	var failed *upstream.Error
	if !errors.As(r.err, &failed) {
		failed = &upstream.Error{Stage: upstream.Sent, Cause: r.err}
	}
	return failed
}

// isDeliverable reports whether the response can be delivered to the caller without a further attempt.
func (r *attemptResult) isDeliverable() bool {
	return r.err == nil && !r.response.notRun && r.response.raw.StatusCode < http.StatusInternalServerError
}

// send sends the request once. It does not modify the exchange, so that two calls may run concurrently.
func (x *exchange) send(ctx context.Context, choice *dispatch.Choice, request *upstream.Request) *attemptResult {
	sentAt := x.host.now()
	result := &attemptResult{choice: choice}
	result.err = guard.Run("attempt", func() error {
		raw, err := x.host.upstream.Send(ctx, request)
		if err != nil {
			return err
		}
		result.response = &response{raw: raw, notice: notice.Decode(raw.Response, x.host.options.Protocol.LeavingHeader)}
		x.host.recordNotice(x.id, choice, result.response.notice)
		return result.response.read(x.host.options.Protocol, x.host.pacer.maxBuffered)
	})
	if result.err != nil && result.response != nil {
		result.response.raw.Abort()
	}
	result.latency = x.host.now() - sentAt
	x.observeAttempt(ctx, result)
	return result
}

// sendHedged sends the request, and sends it to a second target if the first takes unusually long. It returns the first
// deliverable response, or the last failure.
func (x *exchange) sendHedged(ctx context.Context, choice *dispatch.Choice) *attemptResult {
	upstreamRequest := x.upstreamRequest(choice)
	if !x.route.Kind.Idempotent() || x.exclusive || x.requestBody.rest != nil || x.sends+1 >= x.route.MaxSends {
		return x.send(ctx, choice, upstreamRequest)
	}
	results := make(chan *attemptResult, 2)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	go func() { results <- x.send(firstCtx, choice, upstreamRequest) }()
	timer := time.NewTimer(x.hedgeDelay(choice))
	defer timer.Stop()
	select {
	case result := <-results:
		x.releaseContext(result, cancelFirst)
		return result
	case <-timer.C:
	}
	hedgeChoice, result := x.hedgeChoiceOrResult(ctx, choice, results)
	if hedgeChoice == nil {
		if result == nil {
			result = <-results
		}
		x.releaseContext(result, cancelFirst)
		return result
	}
	secondCtx, cancelSecond := context.WithCancel(ctx)
	hedgeRequest := x.upstreamRequest(hedgeChoice)
	go func() { results <- x.send(secondCtx, hedgeChoice, hedgeRequest) }()
	cancels := map[*dispatch.Choice]context.CancelFunc{choice: cancelFirst, hedgeChoice: cancelSecond}
	result = <-results
	if !result.isDeliverable() && ctx.Err() == nil {
		x.finishFailedAttempt(result)
		cancels[result.choice]()
		result = <-results
		x.releaseContext(result, cancels[result.choice])
		return result
	}
	for other, cancel := range cancels {
		if other != result.choice {
			cancel()
		}
	}
	x.releaseContext(result, cancels[result.choice])
	go func() {
		loser := <-results
		if loser.response != nil {
			loser.response.raw.Abort()
		}
		x.recordResult(loser.choice, dispatch.Result{Outcome: dispatch.OutcomeHedgeLost, Latency: loser.latency})
	}()
	return result
}

// releaseContext cancels the context of an attempt, or defers that to the end of the exchange if the body is still to be streamed.
func (x *exchange) releaseContext(result *attemptResult, cancel context.CancelFunc) {
	if result.response != nil && result.err == nil && !result.response.complete {
		x.streamCancels = append(x.streamCancels, cancel)
		return
	}
	cancel()
}

// finishFailedAttempt finishes an attempt that failed while the other one is still running.
func (x *exchange) finishFailedAttempt(result *attemptResult) {
	outcome := dispatch.Result{Outcome: dispatch.OutcomeFailed, Latency: result.latency}
	if result.response != nil {
		result.response.discard()
	}
	switch {
	case result.response == nil && result.failure().Stage == upstream.NotSent:
		outcome.Outcome = dispatch.OutcomeConnectionFailed
	case result.response != nil && result.response.notRun:
		outcome.Outcome = dispatch.OutcomeShed
	default:
		x.mayHaveRun = true
	}
	x.finishAttempt(result.choice, outcome)
}

// hedgeDelay is the time after which the request is sent to a second target. It ends when the first target is
// unusually slow, but not before the second has just enough time left to respond within the latency objective.
func (x *exchange) hedgeDelay(choice *dispatch.Choice) time.Duration {
	latest := x.started + x.route.LatencyObjective - x.host.now() - choice.BaseDuration*hedgeTimePercent/100
	return max(choice.ExpectedLatency*hedgeFactor, latest)
}

// hedgeChoiceOrResult chooses a second target. If the result of the first one arrives while a slot scheduler is asked, it returns that
// instead. Both are nil if there is no second target.
func (x *exchange) hedgeChoiceOrResult(ctx context.Context, first *dispatch.Choice, results <-chan *attemptResult) (*dispatch.Choice, *attemptResult) {
	if x.scheduledService() == nil {
		return x.hedgeChoice(ctx, first), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	choices := make(chan *dispatch.Choice, 1)
	go func() {
		defer close(choices)
		guard.Do("hedge", func() { choices <- x.hedgeChoice(ctx, first) })
	}()
	select {
	case choice := <-choices:
		return choice, nil
	case result := <-results:
		cancel()
		if choice := <-choices; choice != nil {
			x.sends--
			x.hedges--
			x.recordResult(choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
		}
		return nil, result
	}
}

// scheduledService returns the groups of the service, or nil if slot schedulers do not assign its targets.
func (x *exchange) scheduledService() *slotService {
	if x.host.slots == nil {
		return nil
	}
	return x.host.slots.asker.service(x.service)
}

// hedgeChoice chooses a second target with a free slot. It returns nil if there is none or the retry budget is used up.
func (x *exchange) hedgeChoice(ctx context.Context, first *dispatch.Choice) *dispatch.Choice {
	if x.timeLeft() <= first.BaseDuration || x.isSuspect() {
		return nil
	}
	request := x.dispatchRequest()
	request.RequireFreeSlot = true
	request.ExcludedTargets = append(request.ExcludedTargets[:len(request.ExcludedTargets):len(request.ExcludedTargets)], first.ID)
	var second *dispatch.Choice
	if service := x.scheduledService(); service != nil {
		second = x.hedgeTurn(ctx, service, request)
	} else {
		second, _ = x.host.dispatcher.Choose(x.host.now(), request)
	}
	if second == nil {
		return nil
	}
	if !x.host.dispatcher.TakeRetry(x.host.now(), x.service) {
		x.finishAttempt(second, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
		return nil
	}
	x.sends++
	x.hedges++
	x.host.notifyLoadChanged()
	return second
}
