package proxy

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
	"io"
	"net/http"
	"strings"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// Limits of idempotency records.
const (
	// maxStoredResponse is the largest response body that is stored, in bytes.
	maxStoredResponse = 64 << 10
	// maxIdempotencyKey is the maximum length of the Idempotency-Key header, in bytes.
	maxIdempotencyKey = 255
	// replayRetryAfter is the Retry-After of repeats while the first request runs or its outcome is not committed yet.
	replayRetryAfter = time.Second
)

// serveWithRecord serves a non-idempotent request with an Idempotency-Key. The state begun is committed before the first
// byte goes to the target, and the outcome before the caller gets a response (I8).
func (x *exchange) serveWithRecord(p nextHop, attached *target.AttachedTarget) error {
	record, err := x.newRecord()
	if err != nil {
		return err
	}
	inForce, begun, err := x.options.RecordTracker.begin(x.ctx, record)
	if errors.Is(err, errRecordBusy) {
		return inProgressRefusal()
	}
	if err != nil {
		// begin has already waited for the data centre group as long as the deadline allows.
		x.skipOwnerWait = true
		return err
	}
	if !begun {
		x.logDecision(p, "idempotency-record")
		return x.replyFromRecord(record, inForce)
	}
	x.hasOpenRecord = true
	defer func() { x.hasOpenRecord = false }()
	upstream, err := x.sendWithRetries(p, attached)
	if err != nil {
		return x.finishWithoutResponse(record.GetId(), err)
	}
	return x.finishWithResponse(record.GetId(), upstream)
}

func (x *exchange) newRecord() (*schemav1.IdempotencyRecord, error) {
	if x.options.RecordTracker == nil {
		return nil, apierr.New(apierr.RecordStoreFull, "this host keeps no idempotency records")
	}
	key := x.r.Header.Get(headerIdempotency)
	if len(x.r.Header[headerIdempotency]) > 1 || len(key) > maxIdempotencyKey {
		return nil, apierr.New(apierr.BadRequest, "%s must be given once, with at most %d bytes", headerIdempotency, maxIdempotencyKey)
	}
	data, err := x.body.readAll()
	if err != nil {
		return nil, err
	}
	self := x.options.Directory.Self()
	return &schemav1.IdempotencyRecord{
		Id:            digest([]byte(x.resolution.Keyspace), []byte(x.tenant), []byte(x.key), []byte(key)),
		RequestDigest: digest([]byte(x.r.Method), []byte(x.r.URL.RequestURI()), data),
		State:         schemav1.RecordState_RECORD_STATE_BEGUN,
		Host:          self.Host,
		HostIdentity:  self.Identity,
		BegunUnixMs:   time.Now().UnixMilli(),
	}, nil
}

// digest hashes the parts with their lengths, so that different lists of parts never have the same input.
func digest(parts ...[]byte) []byte {
	sum := sha256.New()
	for _, part := range parts {
		writePart(sum, part)
	}
	return sum.Sum(nil)
}

func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	// Writes to a hash never fail.
	_, _ = sum.Write(length[:])
	_, _ = sum.Write(part)
}

// replyFromRecord responds to a repeated request from the record in force.
func (x *exchange) replyFromRecord(requested, inForce *schemav1.IdempotencyRecord) error {
	if !bytes.Equal(requested.GetRequestDigest(), inForce.GetRequestDigest()) {
		return apierr.New(apierr.IdempotencyMismatch, "the %s was used with another request", headerIdempotency)
	}
	switch inForce.GetState() {
	case schemav1.RecordState_RECORD_STATE_DONE:
		return x.replayStored(inForce.GetAnswer())
	case schemav1.RecordState_RECORD_STATE_UNKNOWN:
		return apierr.Wrap(&apierr.Refusal{
			Code: apierr.OutcomeUnknown, Ran: apierr.RunUnknown, Message: "the outcome of the first request is not known",
		})
	default:
		return inProgressRefusal()
	}
}

func inProgressRefusal() error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.InProgress, Ran: apierr.RunUnknown, Message: "the first request is still running",
		RetryAfter: replayRetryAfter,
	})
}

// replayStored sends the stored response, or refuses when its body was too large to store.
func (x *exchange) replayStored(stored *schemav1.StoredAnswer) error {
	if stored.GetBodyDropped() {
		return apierr.Wrap(&apierr.Refusal{
			Code: apierr.ResponseNotStored, Ran: apierr.DidRun, Message: "the request ran; its answer was too large to keep",
		})
	}
	header := x.w.Header()
	header["Content-Type"] = nil
	for _, line := range stored.GetHeaders() {
		header.Add(line.GetName(), line.GetValue())
	}
	header[headerRequestID] = []string{x.id}
	x.responseStarted = true
	x.w.WriteHeader(int(stored.GetStatus()))
	_, err := x.w.Write(stored.GetBody())
	return err
}

// finishWithoutResponse commits the outcome of a request that got no response (not-run or unknown) and returns cause.
func (x *exchange) finishWithoutResponse(id []byte, cause error) error {
	state := schemav1.RecordState_RECORD_STATE_UNKNOWN
	// A request with a record can only be aborted while it waits in the gate's queue, before it was sent.
	if errors.Is(cause, errAborted) || apierr.From(cause).Ran == apierr.NotRun {
		state = schemav1.RecordState_RECORD_STATE_NOT_RUN
	}
	// The error is ignored: the tracker retries in the background, and the refusal is correct either way.
	_ = x.options.RecordTracker.finish(x.ctx, id, state, nil)
	return cause
}

// finishWithResponse commits the response to the record and then delivers it.
func (x *exchange) finishWithResponse(id []byte, upstream *upstreamResponse) error {
	stored, err := storableResponse(upstream)
	if err != nil {
		upstream.exchange.Discard()
		upstream.targetAttempt.end(target.Failure)
		return x.finishWithoutResponse(id, upstream.targetAttempt.badResponseRefusal("the target's answer was cut off"))
	}
	if err := x.options.RecordTracker.finish(x.ctx, id, schemav1.RecordState_RECORD_STATE_DONE, stored); err != nil {
		upstream.exchange.Discard()
		upstream.targetAttempt.end(target.Success)
		return apierr.Wrap(&apierr.Refusal{
			Code: apierr.OutcomeUnknown, Ran: apierr.DidRun, Message: "the request ran, but its outcome is not recorded yet",
			RetryAfter: replayRetryAfter,
		})
	}
	return x.deliver(upstream)
}

// storableResponse reads the response body up to maxStoredResponse and returns what is stored. The body of a larger
// response is marked as dropped; the part that was read is delivered from bodyPrefix.
func storableResponse(upstream *upstreamResponse) (*schemav1.StoredAnswer, error) {
	response := upstream.exchange.Response
	bodyPrefix, err := io.ReadAll(io.LimitReader(response.Body, maxStoredResponse+1))
	if err != nil {
		return nil, err
	}
	upstream.bodyPrefix = bodyPrefix
	stored := &schemav1.StoredAnswer{Status: uint32(response.StatusCode), Body: bodyPrefix}
	if len(bodyPrefix) > maxStoredResponse {
		stored.Body, stored.BodyDropped = nil, true
	}
	header := http.Header{}
	copyEndToEndHeaders(header, response.Header)
	for name, values := range header {
		for _, value := range values {
			stored.Headers = append(stored.Headers, &schemav1.StoredHeader{Name: name, Value: strings.Clone(value)})
		}
	}
	stored.Headers = append(stored.Headers, &schemav1.StoredHeader{Name: headerTarget, Value: upstream.targetAttempt.nextHop.target})
	return stored, nil
}
