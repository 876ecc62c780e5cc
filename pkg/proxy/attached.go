package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/internal/framing"
	"almondrock.example/almondrock/pkg/internal/notice"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/target"
)

// serveAttached serves the request at a target that is attached to this host.
func (x *exchange) serveAttached(p nextHop) error {
	attached, ok := x.options.Targets.AttachedTarget(p.target)
	if !ok {
		err := ownerRefusal(apierr.OwnerUnreachable, "the target is not attached here yet")
		x.logDecision(p, string(apierr.OwnerUnreachable))
		return err
	}
	if !x.resolution.Idempotent && x.r.Header.Get(headerIdempotency) != "" {
		// A record costs two commits in the group's log, so none is begun for a shard that is being moved.
		if err := attached.CheckBegin(x.routedKey(p)); err != nil {
			return err
		}
		return x.serveWithRecord(p, attached)
	}
	upstream, err := x.sendWithRetries(p, attached)
	if err != nil {
		return err
	}
	return x.deliver(upstream)
}

func (x *exchange) routedKey(p nextHop) target.RoutedKey {
	return target.RoutedKey{Keyspace: x.resolution.Keyspace, Shard: x.shard, KeyHash: x.hash, Fence: p.fence}
}

// sendWithRetries sends the request until there is a response, or an error after which it must not be sent again from here.
func (x *exchange) sendWithRetries(p nextHop, attached *target.AttachedTarget) (*upstreamResponse, error) {
	for {
		upstream, err := x.admitAndSend(p, attached)
		if err == nil {
			x.logDecision(p, "answered")
			return upstream, nil
		}
		if errors.Is(err, errAborted) {
			return nil, err
		}
		refusal := apierr.From(err)
		x.logDecision(p, string(refusal.Code))
		// A moving shard needs a new lookup of its owner, and asking a full queue again only adds load.
		if x.ctx.Err() != nil || refusal.Code == apierr.Moving || !x.wasAdmitted(err) || !x.takeRetry(refusal) {
			return nil, err
		}
	}
}

// admittedError marks an error that occurred after the gate admitted the request.
type admittedError struct{ error }

// Unwrap returns the cause.
func (e *admittedError) Unwrap() error { return e.error }

// wasAdmitted reports whether the gate had admitted the request that failed with err.
func (x *exchange) wasAdmitted(err error) bool {
	var sent *admittedError
	return errors.As(err, &sent)
}

// admitAndSend waits for a slot of the target and sends the request once.
func (x *exchange) admitAndSend(p nextHop, attached *target.AttachedTarget) (*upstreamResponse, error) {
	if err := attached.CheckNotices(); err != nil {
		return nil, err
	}
	queuedAt := x.options.Clock()
	permit, err := attached.Gate().Acquire(x.ctx, target.Ticket{
		Class: x.resolution.Class, Tenant: x.tenant, Weight: x.resolution.Tenant.GetWeight(), Deadline: x.timeLeft(),
	})
	if err != nil {
		if x.r.Context().Err() != nil {
			return nil, merry.Wrap(errAborted, merry.WithCause(err))
		}
		return nil, err
	}
	x.telemetry.recordQueueWait(x.options.Clock() - queuedAt)
	inFlightRequest, err := attached.Begin(x.routedKey(p))
	if err != nil {
		permit.Release(target.Outcome{Result: target.Cancelled})
		return nil, err
	}
	s := &targetAttempt{exchange: x, nextHop: p, attached: attached, inFlightRequest: inFlightRequest, permit: permit}
	upstream, err := s.send(x.outgoingHeader(), x.body.reader())
	if err != nil {
		s.end(failureResult(err))
		return nil, &admittedError{err}
	}
	return upstream, nil
}

// failureResult is the result of a failed attempt that is reported to the gate.
func failureResult(err error) target.Result {
	if errors.Is(err, errAborted) {
		return target.Cancelled
	}
	refusal := apierr.From(err)
	switch {
	case refusal.Ran != apierr.NotRun:
		return target.Failure
	case refusal.Code == apierr.Overloaded:
		return target.Shed
	default:
		return target.Cancelled
	}
}

// targetAttempt is one admitted attempt at a target. It holds a slot until end is called.
type targetAttempt struct {
	*exchange
	nextHop         nextHop
	attached        *target.AttachedTarget
	inFlightRequest *target.InFlightRequest
	permit          target.Permit
	started         time.Duration
	cancel          context.CancelFunc
	// resuming is set while the rest of a response that was cut off is requested. The request is then already in flight,
	// so a move of its shard waits for it.
	resuming bool
}

// end releases the slot; calls after the first do nothing.
func (s *targetAttempt) end(result target.Result) {
	if s.cancel != nil {
		s.cancel()
	}
	s.inFlightRequest.End()
	outcome := target.Outcome{Result: result}
	if s.started > 0 {
		outcome.Latency = s.options.Clock() - s.started
	}
	s.permit.Release(outcome)
}

// send sends the request once and checks that the response belongs to it.
func (s *targetAttempt) send(header http.Header, body io.ReadCloser) (*upstreamResponse, error) {
	timeLeft, limitedByLease := s.timeLimit()
	if timeLeft < time.Millisecond {
		return nil, s.noTimeRefusal(limitedByLease)
	}
	ctx := s.sendContext(timeLeft, limitedByLease)
	s.targetHeaders(header, timeLeft)
	requestURL, err := s.targetURL()
	if err != nil {
		return nil, err
	}
	s.sendCount++
	s.started = s.options.Clock()
	reply, err := s.attached.Send(s.request(ctx, requestURL, header, body), s.checkOwnership)
	if err != nil {
		return nil, s.classifySendError(err, ctx)
	}
	s.telemetry.recordTargetLatency(s.options.Clock() - s.started)
	if err := s.checkResponse(reply); err != nil {
		return nil, err
	}
	return &upstreamResponse{exchange: reply, header: reply.Response.Header, targetAttempt: s}, nil
}

// sendContext returns a context that ends after timeLeft or when the caller disconnects. A request with an idempotency
// record goes on without its caller: its response is stored for the caller's next try.
func (s *targetAttempt) sendContext(timeLeft time.Duration, limitedByLease bool) context.Context {
	parent := s.ctx
	switch {
	case s.hasOpenRecord:
		parent = context.WithoutCancel(s.ctx)
	case !limitedByLease:
		// The request's own context ends at the same time.
		return parent
	}
	ctx, cancel := context.WithTimeout(parent, timeLeft)
	s.cancel = cancel
	return ctx
}

// timeLimit returns how long the target may work on the request, and whether this host's lease is what limits it. An
// unsafe request (RFC 9110) to a target that does not check fences is limited to the rest of the lease, because after
// the lease another host may send to another owner (I1).
func (s *targetAttempt) timeLimit() (timeLeft time.Duration, limitedByLease bool) {
	timeLeft = s.timeLeft()
	if s.resolution.Safe || s.attached.ChecksFences() || s.nextHop.fence == nil {
		return timeLeft, false
	}
	if remaining := s.options.Directory.Lease(); remaining < timeLeft {
		return remaining, true
	}
	return timeLeft, false
}

func (s *targetAttempt) noTimeRefusal(limitedByLease bool) error {
	if limitedByLease {
		return ownerRefusal(apierr.OwnerUnreachable, "this host's lease is over")
	}
	return apierr.New(apierr.DeadlineExceeded, "the deadline passed before the request was sent")
}

// targetHeaders adds the fields that only targets get: the deadline, the shard and the fence.
func (s *targetAttempt) targetHeaders(header http.Header, timeLeft time.Duration) {
	header[headerDeadlineMs] = []string{formatMilliseconds(timeLeft)}
	if s.nextHop.fence != nil {
		header[target.HeaderShard] = []string{s.inFlightRequest.ShardHeader()}
		header[target.HeaderFence] = []string{s.inFlightRequest.FenceHeader()}
	}
	if at, ok := s.attached.TargetClockDeadline(timeLeft); ok {
		header[target.HeaderDeadlineAt] = []string{strconv.FormatUint(at, 10)}
	}
}

// targetURL returns the caller's URL path without the service name, and its query.
func (s *targetAttempt) targetURL() (*url.URL, error) {
	path, err := url.PathUnescape(s.targetPath)
	if err != nil {
		return nil, apierr.New(apierr.BadRequest, "the path is not valid")
	}
	return &url.URL{Path: path, RawPath: s.targetPath, RawQuery: s.r.URL.RawQuery}, nil
}

// checkOwnership checks that the host still holds its lease and that the target still owns the key under the same fence
// (I1, I9). It runs immediately before the first byte is written to the target.
func (s *targetAttempt) checkOwnership() error {
	if s.options.Directory.Lease() <= 0 {
		return ownerRefusal(apierr.OwnerUnreachable, "this host's lease is over")
	}
	if s.resuming {
		return s.attached.CheckNotices()
	}
	if s.nextHop.fence != nil {
		x := s.exchange
		assignment, ok := s.options.Directory.Assignment(x.resolution.Keyspace, x.shard, x.hash)
		if !ok || assignment.Moving || assignment.Target != s.nextHop.target ||
			assignment.Host != s.options.Directory.Self().Host || lease.CompareFences(assignment.Fence, s.nextHop.fence) != 0 {
			return ownerRefusal(apierr.Moving, "the owner of the shard has changed")
		}
	}
	return s.inFlightRequest.CheckOwnership()
}

// classifySendError turns the error of a request that got no response into a refusal, or into errAborted when the caller
// has gone.
func (s *targetAttempt) classifySendError(err error, ctx context.Context) error {
	var send *target.SendError
	switch {
	case !errors.As(err, &send):
		return err
	case send.RejectedByGuard:
		return send.Cause
	case s.r.Context().Err() != nil && !s.hasOpenRecord:
		return merry.Wrap(errAborted, merry.WithCause(err))
	case !send.WriteStarted && ctx.Err() != nil:
		return apierr.New(apierr.DeadlineExceeded, "no connection to the target before the deadline")
	case !send.WriteStarted:
		return ownerRefusal(apierr.OwnerUnreachable, "the target cannot be reached")
	}
	return s.lostRefusal("the target gave no answer")
}

// checkResponse returns a refusal for responses that must not be delivered: those that belong to another request, those
// whose end cannot be detected, and the target's own refusals (I6, I7).
func (s *targetAttempt) checkResponse(reply *target.Exchange) error {
	response := reply.Response
	ids := response.Header[headerRequestID]
	if len(ids) != 1 || ids[0] != s.id {
		reply.Discard()
		s.telemetry.discardedResponses(s.service)
		return s.badResponseRefusal("the target's answer carries another request id or none")
	}
	s.inFlightRequest.RecordNotice(notice.Decode(response, target.HeaderLeaving))
	if response.Header.Get(target.HeaderNotRun) != "" {
		// The next attempt has the same ID, so a late second copy of this refusal could not be told from its response.
		reply.Discard()
		return s.targetRefusal(response.StatusCode)
	}
	if framing.EndsWithConnection(response) {
		reply.Discard()
		return s.badResponseRefusal("the target's answer has no length")
	}
	return nil
}

func (s *targetAttempt) badResponseRefusal(message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: apierr.BadResponse, Ran: apierr.RunUnknown, Message: message})
}

func (s *targetAttempt) targetRefusal(status int) error {
	if status == http.StatusConflict {
		return ownerRefusal(apierr.Moving, "the target does not hold the grant of the shard")
	}
	return overloadedRefusal("the target refused the request before running it")
}
