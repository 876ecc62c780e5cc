package entry

import (
	"context"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/dispatch"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/slots"
)

const (
	// maxSlotAsks bounds the asks for one attempt, and maxSlotRefusals the groups that may refuse it.
	maxSlotAsks, maxSlotRefusals = 4, 2
	// maxSlotRetryAfter bounds the time that a caller is told to wait.
	maxSlotRetryAfter = 5 * time.Second
	// minSlotRetryAfter keeps callers from retrying without a pause.
	minSlotRetryAfter = 20 * time.Millisecond
)

// waitedDivisor divides the latency objective into the time after which a refused request is not sent to another group, because its caller can
// still be answered in time if it comes back soon.
const waitedDivisor = 16

// Reasons why a request of a scheduled service is sent to a target of this host's choice.
const (
	slotFallBackSilent       = "no-answer"
	slotFallBackUnreachable  = "unreachable"
	slotFallBackUnknownGroup = "unknown-group"
	slotFallBackNoTarget     = "no-assignable-target"
	slotFallBackRefused      = "refused"
)

// slotRefusal is the refusal of a request by schedulers.
type slotRefusal struct {
	reason     dispatch.Reason
	retryAfter time.Duration
}

// chooseScheduled asks slot schedulers for a target. It returns false if the service is not scheduled or the target is to be chosen by this
// host, whatever the reason. Otherwise the choice is nil if the request is refused.
func (x *exchange) chooseScheduled(ctx context.Context, request *dispatch.Request) (*dispatch.Choice, dispatch.Reason, bool) {
	node, service := x.host.slots, x.scheduledService()
	if service == nil {
		return nil, "", false
	}
	fallBack := func(reason string) (*dispatch.Choice, dispatch.Reason, bool) {
		node.metrics.fallBack(x.service, reason)
		request.TimeToDeadline, request.TimeToObjective = x.timeLeft(), x.timeToObjective()
		return nil, "", false
	}
	asked := x.host.now()
	defer func() { x.slotWait += x.host.now() - asked }()
	turn := slotRequest{x: x, service: service, request: *request}
	for range maxSlotAsks {
		choice, answer := turn.ask(ctx)
		switch {
		case choice != nil:
			return choice, "", true
		case answer.kind == slotCancelled:
			return nil, dispatch.ReasonNoTarget, true
		case answer.kind == slotTimeOut:
			x.slotRefusal = nil
			return nil, dispatch.ReasonLate, true
		case turn.group == nil && x.slotRefusal == nil && len(turn.unassignable) == 0:
			return fallBack(slotFallBackUnreachable)
		case turn.group == nil && x.slotRefusal == nil:
			return fallBack(slotFallBackNoTarget)
		case turn.group == nil:
			return x.chooseUnreachable(request, service)
		case answer.kind == slotSilent:
			return fallBack(slotFallBackSilent)
		case answer.kind == slotRefused && answer.reason == slots.ReasonUnknownGroup:
			return fallBack(slotFallBackUnknownGroup)
		case answer.kind == slotRefused:
			x.recordSlotRefusal(answer)
			turn.excludedGroups = append(turn.excludedGroups, turn.group)
			// A request that has waited at one group does not wait at another one, because its caller can still return in time.
			turn.onlyFree = true
			hasWaited := x.host.now()-asked > (x.slotObjective()-x.started)/waitedDivisor
			isLate := x.slotObjective()-x.host.now() <= node.host.dispatcher.BaseDuration(request.Route)
			if turn.refusals++; turn.refusals >= maxSlotRefusals || hasWaited || isLate {
				return x.chooseUnreachable(request, service)
			}
		}
	}
	if x.slotRefusal != nil {
		return x.chooseUnreachable(request, service)
	}
	return fallBack(slotFallBackNoTarget)
}

// recordSlotRefusal keeps the earliest time to retry after.
func (x *exchange) recordSlotRefusal(answer slotAnswer) {
	reason := map[slots.Reason]dispatch.Reason{slots.ReasonBusy: dispatch.ReasonBusy, slots.ReasonLate: dispatch.ReasonLate}[answer.reason]
	if reason == "" {
		reason = dispatch.ReasonNoTarget
	}
	retryAfter := min(max(minSlotRetryAfter, answer.retryAfter), maxSlotRetryAfter)
	if x.slotRefusal == nil || retryAfter < x.slotRefusal.retryAfter {
		x.slotRefusal = &slotRefusal{reason: reason, retryAfter: retryAfter}
	}
}

// chooseUnreachable chooses one of the targets that no reachable scheduler assigns, after the schedulers have refused the request.
func (x *exchange) chooseUnreachable(request *dispatch.Request, service *slotService) (*dispatch.Choice, dispatch.Reason, bool) {
	now := x.host.now()
	candidates := x.host.slots.asker.unreachable(now, service)
	if len(candidates) > 0 {
		direct := *request
		direct.Candidates = func(id string) bool { return candidates[id] }
		direct.TimeToDeadline, direct.TimeToObjective = x.timeLeft(), x.timeToObjective()
		if choice, _ := x.host.dispatcher.Choose(now, &direct); choice != nil {
			x.host.slots.metrics.fallBack(x.service, slotFallBackRefused)
			x.slotRefusal = nil
			return choice, "", true
		}
	}
	return nil, x.slotRefusal.reason, true
}

// timeToObjective is the time left until a response loses value, or less than 0.
func (x *exchange) timeToObjective() time.Duration {
	return x.started + x.route.LatencyObjective - x.host.now()
}

// slotObjective is the time at which a response loses value, or the deadline if the route has no objective.
func (x *exchange) slotObjective() time.Duration {
	if x.route.LatencyObjective <= 0 {
		return x.deadline
	}
	return x.started + x.route.LatencyObjective
}

// slotRequest is the search for a turn for one attempt.
type slotRequest struct {
	x       *exchange
	service *slotService
	request dispatch.Request
	// onlyFree is set if the ask is to be refused rather than to wait.
	onlyFree bool
	isHedge  bool
	// group is the group that was asked last; nil if there was none to ask.
	group *slotGroup
	// excludedGroups are not asked again; unassignable are those of them whose targets this host must not use.
	excludedGroups, unassignable []*slotGroup
	// excludedHashes has targets that a scheduler has assigned and this host does not know.
	excludedHashes []uint32
	refusals       int
}

// ask asks one group. The choice is nil if there is no turn that can be used.
func (r *slotRequest) ask(ctx context.Context) (*dispatch.Choice, slotAnswer) {
	x, node := r.x, r.x.host.slots
	excluded := r.chooseGroup()
	if r.group == nil {
		return nil, slotAnswer{}
	}
	if !r.isHedge {
		x.scheduler = r.group.host
	}
	base := x.host.dispatcher.BaseDuration(r.request.Route)
	a, answer := node.asker.ask(ctx, r.group, x.deadline, func(roundTrip time.Duration) *schemav1.SlotAsk {
		return &schemav1.SlotAsk{
			Excluded: excluded, Rank: uint32(max(0, x.rank())), ToObjectiveMs: slotMilliseconds(x.slotObjective() - x.host.now()), ToDeadlineMs: slotMilliseconds(x.timeLeft()),
			DurationMs: slotMilliseconds(base), RoundTripMs: slotMilliseconds(roundTrip), OnlyFree: r.onlyFree,
		}
	})
	node.metrics.ask(x.service, answer.result())
	if answer.kind != slotTurn {
		return nil, answer
	}
	now, id := x.host.now(), r.group.byHash[answer.target]
	r.request.TimeToDeadline, r.request.TimeToObjective = x.timeLeft(), x.timeToObjective()
	choice, _ := x.host.dispatcher.Assign(now, &r.request, id)
	if choice == nil {
		node.asker.giveBack(a)
		node.metrics.ask(x.service, "turn-not-usable")
		if id == "" {
			r.excludedHashes = append(r.excludedHashes, answer.target)
		} else {
			r.request.ExcludedTargets = append(slices.Clip(r.request.ExcludedTargets), id)
		}
		return nil, answer
	}
	node.asker.hold(a, choice)
	return choice, answer
}

// chooseGroup sets group to one that has targets which this host may use, or to nil if there is none. It returns the hashes of those
// targets of the group that must not be used.
func (r *slotRequest) chooseGroup() []uint32 {
	x := r.x
	for {
		r.group = x.host.slots.asker.choose(x.host.now(), r.service, &r.request, r.excludedGroups)
		if r.group == nil {
			return nil
		}
		assignable := x.host.dispatcher.Assignable(x.host.now(), &r.request, r.group.targets)
		if len(assignable) == 0 {
			r.excludedGroups, r.unassignable = append(r.excludedGroups, r.group), append(r.unassignable, r.group)
			continue
		}
		excluded := slices.Clone(r.excludedHashes)
		for _, id := range r.group.targets {
			if !slices.Contains(assignable, id) && len(excluded) < maxExcluded {
				excluded = append(excluded, dispatch.TargetHash(id))
			}
		}
		return excluded
	}
}

// hedgeTurn asks for a turn at a second target with a free slot. It returns nil if there is none.
func (x *exchange) hedgeTurn(ctx context.Context, service *slotService, request *dispatch.Request) *dispatch.Choice {
	turn := slotRequest{x: x, service: service, request: *request, onlyFree: true, isHedge: true}
	choice, _ := turn.ask(ctx)
	return choice
}

// result returns the name of the answer in metrics.
func (a *slotAnswer) result() string {
	switch a.kind {
	case slotTurn:
		return "turn"
	case slotRefused:
		return a.reason.String()
	case slotTimeOut:
		return "timed-out"
	case slotCancelled:
		return "cancelled"
	default:
		return slotFallBackSilent
	}
}
