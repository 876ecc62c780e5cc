package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
)

const (
	// lateResponseMargin is how long a request waits for its response after the deadline. A refusal because of the deadline may
	// arrive shortly after it.
	lateResponseMargin = 2 * time.Second
	// noDeadlineTimeout is how long a request without a deadline waits for its response.
	noDeadlineTimeout = time.Minute
	// maxResponseBytes limits the part of a response body that is read.
	maxResponseBytes = 64 << 20
)

// targetResponse is the response body of a stand-in target. Fields that aren't listed here are ignored.
type targetResponse struct {
	Target string `json:"target"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Body   string `json:"body"`
	Runs   int    `json:"runs"`
}

// runner is the state of one run.
type runner struct {
	options  Options
	schedule *schedule
	client   *http.Client
	start    time.Time
	results  *recorder
}

// Run generates the load and returns its report. If an option is invalid, it returns an OptionError and sends nothing. When
// ctx is done, the run stops and the report covers the requests that were finished until then.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConns: options.Workers, MaxIdleConnsPerHost: options.Workers, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		options: options, schedule: newSchedule(options), start: time.Now(), results: newRecorder(),
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	var workers sync.WaitGroup
	for range options.Workers {
		workers.Go(func() { r.sendRequests(ctx) })
	}
	workers.Wait()
	return r.results.report(options, time.Since(r.start)), nil
}

// sendRequests is the loop of one worker. It sends one request after the other, each at its intended time, or at once if that
// has passed.
func (r *runner) sendRequests(ctx context.Context) {
	for {
		next, ok := r.schedule.nextRequest()
		if !ok || !sleepUntil(ctx, r.start.Add(next.sendTime)) {
			return
		}
		sent := time.Since(r.start)
		result := r.send(ctx, next)
		if ctx.Err() != nil {
			return
		}
		result.latencyFromIntended = time.Since(r.start) - next.sendTime
		result.latencyFromSend = time.Since(r.start) - sent
		r.results.add(&result)
	}
}

// sleepUntil waits until the time at. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// send sends one request and checks its response.
func (r *runner) send(ctx context.Context, next plannedRequest) result {
	wait := noDeadlineTimeout
	if r.options.Deadline > 0 {
		wait = r.options.Deadline + lateResponseMargin
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request, err := r.request(ctx, next)
	if err != nil {
		return result{method: next.method, failure: failureRequest}
	}
	response, err := r.client.Do(request)
	if err != nil {
		return result{method: next.method, failure: failureOf(err)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return result{method: next.method, status: response.StatusCode, failure: failureTruncated}
	}
	return checkResponse(next, response.StatusCode, body)
}

func (r *runner) request(ctx context.Context, next plannedRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, next.method, r.options.URL, strings.NewReader(next.idempotencyKey))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't silently retry a POST with an Idempotency-Key, which would hide a lost response.
	request.GetBody = nil
	request.Header.Set("Almondrock-Key", next.key)
	if r.options.Tenant != "" {
		request.Header.Set("Almondrock-Tenant", r.options.Tenant)
	}
	if r.options.Deadline > 0 {
		request.Header.Set("Almondrock-Deadline-Ms", strconv.FormatInt(r.options.Deadline.Milliseconds(), 10))
	}
	if next.method == http.MethodPost {
		request.Header.Set("Idempotency-Key", next.idempotencyKey)
	}
	return request, nil
}

// checkResponse compares a response with its request. A response with another key, method or body belongs to another request
// (a violation of I6).
func checkResponse(next plannedRequest, status int, body []byte) result {
	r := result{method: next.method, status: status}
	if status >= http.StatusBadRequest {
		if refusal, ok := apierr.Parse(body); ok {
			r.refusalCode, r.runStatus = refusal.Code, refusal.Ran
		}
		return r
	}
	var a targetResponse
	if err := json.Unmarshal(body, &a); err != nil {
		r.failure = failureNotJSON
		return r
	}
	r.target = a.Target
	r.mismatched = a.Key != next.key || (a.Method != "" && a.Method != next.method) || (a.Body != "" && a.Body != next.idempotencyKey)
	r.duplicate = next.method == http.MethodPost && a.Runs > 1
	return r
}

// failureOf returns the reason why there was no response.
func failureOf(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return failureTimeout
	}
	return failureConnection
}
