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
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/target"
)

// serveAttached serves the request at a target that is attached to this host.
func (x *exchange) serveAttached(p place) error {
	attached, ok := x.options.Targets.AttachedTarget(p.target)
	if !ok {
		err := noOwner(apierr.OwnerUnreachable, "the target is not attached here yet")
		x.decide(p, string(apierr.OwnerUnreachable))
		return err
	}
	if !x.resolution.Idempotent && x.r.Header.Get(headerIdempotency) != "" {
		// A record costs two commits, so none is begun for a shard that is just being moved.
		if err := attached.CheckBegin(x.scope(p)); err != nil {
			return err
		}
		return x.serveRecorded(p, attached)
	}
	found, err := x.attempts(p, attached)
	if err != nil {
		return err
	}
	return x.deliver(found)
}

func (x *exchange) scope(p place) target.RoutedKey {
	return target.RoutedKey{Keyspace: x.resolution.Keyspace, Shard: x.shard, KeyHash: x.hash, Fence: p.fence}
}

// attempts sends the request until there is an answer, or a refusal after which it must not be sent again.
func (x *exchange) attempts(p place, attached *target.AttachedTarget) (*answer, error) {
	for {
		found, err := x.attempt(p, attached)
		if err == nil {
			x.decide(p, "answered")
			return found, nil
		}
		if errors.Is(err, errAborted) {
			return nil, err
		}
		refusal := apierr.From(err)
		x.decide(p, string(refusal.Code))
		// A moving shard needs another look at the table, and a full queue is not helped by asking it again.
		if x.ctx.Err() != nil || refusal.Code == apierr.Moving || !x.sentBefore(err) || !x.mayRetry(refusal) {
			return nil, err
		}
	}
}

// sentError marks a failure after the gate admitted the request.
type sentError struct{ error }

// Unwrap returns the failure.
func (e *sentError) Unwrap() error { return e.error }

// sentBefore reports whether the request got past the gate.
func (x *exchange) sentBefore(err error) bool {
	var sent *sentError
	return errors.As(err, &sent)
}

// attempt queues for the target and sends the request once.
func (x *exchange) attempt(p place, attached *target.AttachedTarget) (*answer, error) {
	asked := x.options.Clock()
	permit, err := attached.Gate().Acquire(x.ctx, target.Ticket{
		Class: x.resolution.Class, Tenant: x.tenant, Weight: x.resolution.Tenant.GetWeight(), Deadline: x.left(),
	})
	if err != nil {
		if x.r.Context().Err() != nil {
			return nil, merry.Wrap(errAborted, merry.WithCause(err))
		}
		return nil, err
	}
	x.telemetry.queued(x.options.Clock() - asked)
	work, err := attached.Begin(x.scope(p))
	if err != nil {
		permit.Release(target.Outcome{Result: target.Cancelled})
		return nil, err
	}
	s := &sending{exchange: x, place: p, attached: attached, work: work, permit: permit}
	found, err := s.send(x.outgoing(), x.body.reader())
	if err != nil {
		s.end(outcomeOf(err))
		return nil, &sentError{err}
	}
	return found, nil
}

// outcomeOf tells the gate how a failed attempt ended.
func outcomeOf(err error) target.Result {
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

// sending is one admitted attempt at a target. It holds a slot until end.
type sending struct {
	*exchange
	place    place
	attached *target.AttachedTarget
	work     *target.InFlightRequest
	permit   target.Permit
	started  time.Duration
	cancel   context.CancelFunc
	// resuming is set while the rest of a cut answer is asked for. The request is already in flight then, so a move of
	// its shard waits for it.
	resuming bool
}

// end gives the slot back; calls after the first do nothing.
func (s *sending) end(result target.Result) {
	if s.cancel != nil {
		s.cancel()
	}
	s.work.End()
	outcome := target.Outcome{Result: result}
	if s.started > 0 {
		outcome.Latency = s.options.Clock() - s.started
	}
	s.permit.Release(outcome)
}

// send sends the request once and checks that the answer is its own.
func (s *sending) send(header http.Header, body io.ReadCloser) (*answer, error) {
	left, ownLease := s.allowed()
	if left < time.Millisecond {
		return nil, s.noTime(ownLease)
	}
	ctx := s.sendContext(left, ownLease)
	s.targetHeaders(header, left)
	link, err := s.targetURL()
	if err != nil {
		return nil, err
	}
	s.sends++
	s.started = s.options.Clock()
	reply, err := s.attached.Send(s.request(ctx, link, header, body), s.guard)
	if err != nil {
		return nil, s.sendFailure(err, ctx)
	}
	s.telemetry.target(s.options.Clock() - s.started)
	if err := s.checkAnswer(reply); err != nil {
		return nil, err
	}
	return &answer{exchange: reply, header: reply.Response.Header, sending: s}, nil
}

// sendContext ends with the time left and when the caller leaves. A recorded request goes on without its caller: its
// answer is kept for the caller's next try.
func (s *sending) sendContext(left time.Duration, ownLease bool) context.Context {
	parent := s.ctx
	switch {
	case s.recorded:
		parent = context.WithoutCancel(s.ctx)
	case !ownLease:
		// The request's own context ends at the same time.
		return parent
	}
	ctx, cancel := context.WithTimeout(parent, left)
	s.cancel = cancel
	return ctx
}

// allowed is how long the target may work on the request. The time of a request that changes something is capped at
// the lease left when the target does not check fences: after the lease another host may send to another owner (I1).
func (s *sending) allowed() (left time.Duration, ownLease bool) {
	left = s.left()
	if s.resolution.Safe || s.attached.ChecksFences() || s.place.fence == nil {
		return left, false
	}
	if remaining := s.options.Directory.Lease(); remaining < left {
		return remaining, true
	}
	return left, false
}

func (s *sending) noTime(ownLease bool) error {
	if ownLease {
		return noOwner(apierr.OwnerUnreachable, "this host's lease is over")
	}
	return apierr.New(apierr.DeadlineExceeded, "the deadline passed before the request was sent")
}

// targetHeaders adds what the target is told about the request.
func (s *sending) targetHeaders(header http.Header, left time.Duration) {
	header[headerDeadlineMs] = []string{milliseconds(left)}
	if s.place.fence != nil {
		header[target.HeaderShard] = []string{s.work.ShardHeader()}
		header[target.HeaderFence] = []string{s.work.FenceHeader()}
	}
	if at, ok := s.attached.TargetClockDeadline(left); ok {
		header[target.HeaderDeadlineAt] = []string{strconv.FormatUint(at, 10)}
	}
}

// targetURL is the caller's path without the service.
func (s *sending) targetURL() (*url.URL, error) {
	path, err := url.PathUnescape(s.rest)
	if err != nil {
		return nil, apierr.New(apierr.BadRequest, "the path is not valid")
	}
	return &url.URL{Path: path, RawPath: s.rest, RawQuery: s.r.URL.RawQuery}, nil
}

// guard runs immediately before the first byte is written: the host still holds its lease, and the target still owns
// the key under the same fence (I1, I9).
func (s *sending) guard() error {
	if s.options.Directory.Lease() <= 0 {
		return noOwner(apierr.OwnerUnreachable, "this host's lease is over")
	}
	if s.resuming {
		return nil
	}
	if s.place.fence != nil {
		x := s.exchange
		assignment, ok := s.options.Directory.Assignment(x.resolution.Keyspace, x.shard, x.hash)
		if !ok || assignment.Moving || assignment.Target != s.place.target ||
			assignment.Host != s.options.Directory.Self().Host || lease.CompareFences(assignment.Fence, s.place.fence) != 0 {
			return noOwner(apierr.Moving, "the owner of the shard has changed")
		}
	}
	return s.work.CheckOwnership()
}

// sendFailure gives a request without an answer a type.
func (s *sending) sendFailure(err error, ctx context.Context) error {
	var send *target.SendError
	switch {
	case !errors.As(err, &send):
		return err
	case send.RejectedByGuard:
		return send.Cause
	case s.r.Context().Err() != nil && !s.recorded:
		return merry.Wrap(errAborted, merry.WithCause(err))
	case !send.WriteStarted && ctx.Err() != nil:
		return apierr.New(apierr.DeadlineExceeded, "no connection to the target before the deadline")
	case !send.WriteStarted:
		return noOwner(apierr.OwnerUnreachable, "the target cannot be reached")
	}
	return s.lost("the target gave no answer")
}

// maxNotRunBytes is how much of a target's refusal is read to keep its connection.
const maxNotRunBytes = 4 << 10

// checkAnswer refuses answers that must not be delivered: those of another request, those whose end cannot be told, and
// the target's own refusals (I6, I7).
func (s *sending) checkAnswer(reply *target.Exchange) error {
	response := reply.Response
	ids := response.Header[headerRequestID]
	if len(ids) != 1 || ids[0] != s.id {
		reply.Discard()
		s.telemetry.discarded(s.service)
		return s.badAnswer("the target's answer carries another request id or none")
	}
	if response.Header.Get(target.HeaderNotRun) != "" {
		_, err := io.CopyN(io.Discard, response.Body, maxNotRunBytes)
		if err == nil {
			reply.Discard()
		}
		response.Body.Close()
		return s.refusedByTarget(response.StatusCode)
	}
	if endsByClose(response, s.r.Method) {
		reply.Discard()
		return s.badAnswer("the target's answer has no length")
	}
	return nil
}

func (s *sending) badAnswer(message string) error {
	return apierr.Wrap(&apierr.Refusal{Code: apierr.BadResponse, Ran: apierr.RunUnknown, Message: message})
}

func (s *sending) refusedByTarget(status int) error {
	if status == http.StatusConflict {
		return noOwner(apierr.Moving, "the target does not hold the grant of the shard")
	}
	return overloaded("the target refused the request before running it")
}

// endsByClose reports whether only the end of the connection ends the answer. A cut is then not visible, so such an
// answer cannot be passed on as complete.
func endsByClose(response *http.Response, method string) bool {
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
