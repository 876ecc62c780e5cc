package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// hedgeFactor is how many times its expected duration a request takes before it is sent to a second target. Work
	// varies in size, so that an earlier hedge would mostly repeat work that is about to end.
	hedgeFactor = 2
	// hedgeShare is the part of the usual duration of work, in per cent, that must be left before the objective for the
	// second target to answer in time.
	hedgeShare = 130
)

// try is one request to one target and what came of it.
type try struct {
	choice *dispatch.Choice
	// took is the time until the answer or the failure.
	took time.Duration
	// answer is nil when err is the failure of a send; otherwise err is why the answer cannot be used.
	answer *answer
	err    error
}

// failure returns the failure of a send.
func (t *try) failure() *upstream.Error {
	var failed *upstream.Error
	if !errors.As(t.err, &failed) {
		failed = &upstream.Error{Stage: upstream.Sent, Cause: t.err}
	}
	return failed
}

// isGood reports whether the answer can be passed on as it is.
func (t *try) isGood() bool {
	return t.err == nil && !t.answer.notRun && t.answer.response.StatusCode < http.StatusInternalServerError
}

// send sends the request once. It changes nothing of the exchange, so that two may run at once.
func (x *exchange) send(ctx context.Context, choice *dispatch.Choice, request *upstream.Request) *try {
	sent := x.host.now()
	t := &try{choice: choice}
	response, err := x.host.upstream.Send(ctx, request)
	if err != nil {
		t.err = err
	} else {
		t.answer = &answer{response: response}
		if t.err = t.answer.read(x.host.options.Protocol, x.host.pacer.whole); t.err != nil {
			response.Abort()
		}
	}
	t.took = x.host.now() - sent
	return t
}

// sendHedged sends the request, and once more to a second target if the first takes unusually long. It returns the first
// good answer, or the last failure.
func (x *exchange) sendHedged(ctx context.Context, choice *dispatch.Choice) *try {
	request := x.request(choice)
	if !x.route.Kind.Idempotent() || x.exclusive || x.body.rest != nil || x.sends+1 >= x.route.MaxSends {
		return x.send(ctx, choice, request)
	}
	tries := make(chan *try, 2)
	first, cancelFirst := context.WithCancel(ctx)
	go func() { tries <- x.send(first, choice, request) }()
	timer := time.NewTimer(x.hedgeAfter(choice))
	defer timer.Stop()
	select {
	case t := <-tries:
		x.releaseAfter(t, cancelFirst)
		return t
	case <-timer.C:
	}
	hedge := x.hedge(choice)
	if hedge == nil {
		t := <-tries
		x.releaseAfter(t, cancelFirst)
		return t
	}
	second, cancelSecond := context.WithCancel(ctx)
	repeated := x.request(hedge)
	go func() { tries <- x.send(second, hedge, repeated) }()
	cancels := map[*dispatch.Choice]context.CancelFunc{choice: cancelFirst, hedge: cancelSecond}
	t := <-tries
	if !t.isGood() && ctx.Err() == nil {
		x.noteLoser(t)
		cancels[t.choice]()
		t = <-tries
		x.releaseAfter(t, cancels[t.choice])
		return t
	}
	for other, cancel := range cancels {
		if other != t.choice {
			cancel()
		}
	}
	x.releaseAfter(t, cancels[t.choice])
	go func() {
		late := <-tries
		if late.answer != nil {
			late.answer.response.Abort()
		}
		x.finish(late.choice, dispatch.Result{Outcome: dispatch.OutcomeHedgeLost, Latency: late.took})
	}()
	return t
}

// releaseAfter ends the context of a try, unless its body is still to be read.
func (x *exchange) releaseAfter(t *try, cancel context.CancelFunc) {
	if t.answer != nil && t.err == nil && !t.answer.whole {
		x.cancels = append(x.cancels, cancel)
		return
	}
	cancel()
}

// noteLoser ends a try that failed while another is under way.
func (x *exchange) noteLoser(t *try) {
	outcome := dispatch.Result{Outcome: dispatch.OutcomeFailed, Latency: t.took}
	switch {
	case t.answer == nil && t.failure().Stage == upstream.NotSent:
		outcome.Outcome = dispatch.OutcomeConnectionFailed
	case t.answer != nil && t.answer.notRun:
		outcome.Outcome = dispatch.OutcomeShed
	default:
		x.mayHaveRun = true
	}
	x.finish(t.choice, outcome)
}

// hedgeAfter is the time after which a second target is asked: late enough that the first is unusually slow, and early
// enough that the second can still answer within the objective.
func (x *exchange) hedgeAfter(choice *dispatch.Choice) time.Duration {
	latest := x.started + x.route.LatencyObjective - x.host.now() - choice.BaseDuration*hedgeShare/100
	return max(choice.ExpectedLatency*hedgeFactor, latest)
}

// hedge chooses a second target with a free slot, if the budget allows it.
func (x *exchange) hedge(first *dispatch.Choice) *dispatch.Choice {
	if x.left() <= first.BaseDuration {
		return nil
	}
	request := x.choiceRequest()
	request.RequireFreeSlot = true
	request.ExcludedTargets = append(request.ExcludedTargets[:len(request.ExcludedTargets):len(request.ExcludedTargets)], first.ID)
	second, _ := x.host.core.Choose(x.host.now(), request)
	if second == nil {
		return nil
	}
	if !x.host.core.TakeRetry(x.host.now(), x.service) {
		x.finish(second, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
		return nil
	}
	x.sends++
	x.hedges++
	x.host.noteLoad()
	return second
}
