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
	// grace is how long after the deadline an answer is waited for; a refusal may come a little later than its deadline.
	grace = 2 * time.Second
	// noDeadline is how long a request without a deadline is waited for.
	noDeadline = time.Minute
	// maxAnswer bounds the answers that are read.
	maxAnswer = 64 << 20
)

// answer is what a stand-in target sends. Other fields are ignored.
type answer struct {
	Target string `json:"target"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Body   string `json:"body"`
	Runs   int    `json:"runs"`
}

// runner is the state of one run.
type runner struct {
	options Options
	plan    *plan
	client  *http.Client
	start   time.Time
	results *recorder
}

// Run offers the load and returns its report. It returns an OptionError before the first request when an option can't
// be used. When ctx is done, the run stops and the report covers what was sent until then.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConns: options.Workers, MaxIdleConnsPerHost: options.Workers, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		options: options, plan: newPlan(options), start: time.Now(), results: newRecorder(),
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	var workers sync.WaitGroup
	for range options.Workers {
		workers.Go(func() { r.work(ctx) })
	}
	workers.Wait()
	return r.results.report(options, time.Since(r.start)), nil
}

// work sends one request after the other, each at its intended time or as soon after it as a worker is free.
func (r *runner) work(ctx context.Context) {
	for {
		next, ok := r.plan.take()
		if !ok || !sleepUntil(ctx, r.start.Add(next.at)) {
			return
		}
		sent := time.Since(r.start)
		result := r.send(ctx, next)
		if ctx.Err() != nil {
			return
		}
		result.intended = time.Since(r.start) - next.at
		result.sent = time.Since(r.start) - sent
		r.results.add(&result)
	}
}

// sleepUntil reports false when ctx is done first.
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

// send sends one request and checks its answer.
func (r *runner) send(ctx context.Context, next item) result {
	wait := noDeadline
	if r.options.Deadline > 0 {
		wait = r.options.Deadline + grace
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return result{method: next.method, status: response.StatusCode, failure: failureTruncated}
	}
	return judge(next, response.StatusCode, body)
}

func (r *runner) request(ctx context.Context, next item) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, next.method, r.options.URL, strings.NewReader(next.unique))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't silently send a POST with an Idempotency-Key again, which would hide a lost answer.
	request.GetBody = nil
	request.Header.Set("Almondrock-Key", next.key)
	if r.options.Tenant != "" {
		request.Header.Set("Almondrock-Tenant", r.options.Tenant)
	}
	if r.options.Deadline > 0 {
		request.Header.Set("Almondrock-Deadline-Ms", strconv.FormatInt(r.options.Deadline.Milliseconds(), 10))
	}
	if next.method == http.MethodPost {
		request.Header.Set("Idempotency-Key", next.unique)
	}
	return request, nil
}

// judge checks an answer against its request. An answer with another key, method or body is another request's (I6).
func judge(next item, status int, body []byte) result {
	r := result{method: next.method, status: status}
	if status >= http.StatusBadRequest {
		if refusal, ok := apierr.Parse(body); ok {
			r.code, r.ran = refusal.Code, refusal.Ran
		}
		return r
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		r.failure = failureNoJSON
		return r
	}
	r.target = a.Target
	r.crossed = a.Key != next.key || (a.Method != "" && a.Method != next.method) || (a.Body != "" && a.Body != next.unique)
	r.doubled = next.method == http.MethodPost && a.Runs > 1
	return r
}

// failureOf names the reason why there was no answer.
func failureOf(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return failureTimeout
	}
	return failureConnection
}
