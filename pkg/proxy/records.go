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

// Bounds of idempotency records.
const (
	// maxStoredAnswer is the largest answer body that is kept.
	maxStoredAnswer = 64 << 10
	// maxIdempotencyKey bounds the header.
	maxIdempotencyKey = 255
	// replayRetryAfter is the hint while the first request runs.
	replayRetryAfter = time.Second
)

// serveRecorded serves a non-idempotent request with an Idempotency-Key: begun is committed before the first byte goes to
// the target, and the outcome before the caller gets an answer (I8).
func (x *exchange) serveRecorded(p place, attached *target.AttachedTarget) error {
	record, err := x.newRecord()
	if err != nil {
		return err
	}
	inForce, begun, err := x.options.RecordTracker.begin(x.ctx, record)
	if errors.Is(err, errRecordBusy) {
		return inProgress()
	}
	if err != nil {
		// Begin has waited for the group as long as the deadline allows.
		x.noWait = true
		return err
	}
	if !begun {
		x.decide(p, "idempotency-record")
		return x.answerFromRecord(record, inForce)
	}
	x.recorded = true
	defer func() { x.recorded = false }()
	found, err := x.attempts(p, attached)
	if err != nil {
		return x.finishFailed(record.GetId(), err)
	}
	return x.finishAnswered(record.GetId(), found)
}

func (x *exchange) newRecord() (*schemav1.IdempotencyRecord, error) {
	if x.options.RecordTracker == nil {
		return nil, apierr.New(apierr.RecordStoreFull, "this host keeps no idempotency records")
	}
	key := x.r.Header.Get(headerIdempotency)
	if len(x.r.Header[headerIdempotency]) > 1 || len(key) > maxIdempotencyKey {
		return nil, apierr.New(apierr.BadRequest, "%s must be given once, with at most %d bytes", headerIdempotency, maxIdempotencyKey)
	}
	data, err := x.body.buffer()
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

// digest hashes the parts with their lengths, so that no two lists of parts look the same.
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

// answerFromRecord answers a repeat from the record in force.
func (x *exchange) answerFromRecord(asked, inForce *schemav1.IdempotencyRecord) error {
	if !bytes.Equal(asked.GetRequestDigest(), inForce.GetRequestDigest()) {
		return apierr.New(apierr.IdempotencyMismatch, "the %s was used with another request", headerIdempotency)
	}
	switch inForce.GetState() {
	case schemav1.RecordState_RECORD_STATE_DONE:
		return x.replay(inForce.GetAnswer())
	case schemav1.RecordState_RECORD_STATE_UNKNOWN:
		return apierr.Wrap(&apierr.Refusal{
			Code: apierr.OutcomeUnknown, Ran: apierr.RunUnknown, Message: "the outcome of the first request is not known",
		})
	default:
		return inProgress()
	}
}

func inProgress() error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.InProgress, Ran: apierr.RunUnknown, Message: "the first request is still running",
		RetryAfter: replayRetryAfter,
	})
}

// replay sends the stored answer.
func (x *exchange) replay(stored *schemav1.StoredAnswer) error {
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
	x.answering = true
	x.w.WriteHeader(int(stored.GetStatus()))
	_, err := x.w.Write(stored.GetBody())
	return err
}

// finishFailed commits that a request got no answer and returns its refusal.
func (x *exchange) finishFailed(id []byte, cause error) error {
	state := schemav1.RecordState_RECORD_STATE_UNKNOWN
	// An aborted request with a record was abandoned in the queue, before it was sent.
	if errors.Is(cause, errAborted) || apierr.From(cause).Ran == apierr.NotRun {
		state = schemav1.RecordState_RECORD_STATE_NOT_RUN
	}
	// The ledger goes on trying; the refusal is true either way.
	_ = x.options.RecordTracker.finish(x.ctx, id, state, nil)
	return cause
}

// finishAnswered commits the answer and then delivers it.
func (x *exchange) finishAnswered(id []byte, found *answer) error {
	stored, err := keep(found)
	if err != nil {
		found.exchange.Discard()
		found.sending.end(target.Failure)
		return x.finishFailed(id, found.sending.badAnswer("the target's answer was cut off"))
	}
	if err := x.options.RecordTracker.finish(x.ctx, id, schemav1.RecordState_RECORD_STATE_DONE, stored); err != nil {
		found.exchange.Discard()
		found.sending.end(target.Success)
		return apierr.Wrap(&apierr.Refusal{
			Code: apierr.OutcomeUnknown, Ran: apierr.DidRun, Message: "the request ran, but its outcome is not recorded yet",
			RetryAfter: replayRetryAfter,
		})
	}
	return x.deliver(found)
}

// keep reads the answer up to the size that is stored. Larger answers are marked as not kept and streamed on.
func keep(found *answer) (*schemav1.StoredAnswer, error) {
	response := found.exchange.Response
	prefix, err := io.ReadAll(io.LimitReader(response.Body, maxStoredAnswer+1))
	if err != nil {
		return nil, err
	}
	found.prefix = prefix
	stored := &schemav1.StoredAnswer{Status: uint32(response.StatusCode), Body: prefix}
	if len(prefix) > maxStoredAnswer {
		stored.Body, stored.BodyDropped = nil, true
	}
	header := http.Header{}
	copyEndToEnd(header, response.Header)
	for name, values := range header {
		for _, value := range values {
			stored.Headers = append(stored.Headers, &schemav1.StoredHeader{Name: name, Value: strings.Clone(value)})
		}
	}
	stored.Headers = append(stored.Headers, &schemav1.StoredHeader{Name: headerTarget, Value: found.sending.place.target})
	return stored, nil
}
