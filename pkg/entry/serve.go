package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/grants"
	"almondrock.example/almondrock/pkg/memory"
)

const (
	// maxRetainedBody is the size in bytes up to which a request body is buffered, so that the request can be sent again.
	maxRetainedBody = 256 << 10
	// defaultTimeout applies when neither the request nor the route states a timeout.
	defaultTimeout = 30 * time.Second
	// unconfiguredRetryAfter is the Retry-After value, in seconds, while the host has no configuration or may lack a newer one.
	unconfiguredRetryAfter = "0.300"
	// maxViewAge is the age of the view from which on a missing route may have been added meanwhile. A registry host that is up to date
	// sends updates at least every 400 ms, which are at most 0.7 s old, and a change must be in force within 2 s.
	maxViewAge = 1500 * time.Millisecond
)

// serve handles one request of a caller.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	p := h.options.Protocol
	started := h.now()
	id := r.Header.Get(p.RequestIDHeader)
	// Read before the view, so that the view is not older than that, however long the process stands still in between.
	viewAge := h.viewAge()
	v := h.current()
	if v.table == nil {
		w.Header().Set("Retry-After", unconfiguredRetryAfter)
		writeError(w, p, id, http.StatusServiceUnavailable, "no-configuration")
		klog.InfoS("request", "id", id, "result", "no-configuration")
		return
	}
	if id == "" {
		writeError(w, p, id, http.StatusBadRequest, "request-id-missing")
		return
	}
	route, ok := v.table.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		h.refuseUnknownRoute(w, id, v)
		return
	}
	tenant, failure := h.authenticate(r, v, viewAge, route)
	if failure != nil {
		h.refuseUnauthenticated(w, id, v, viewAge, route, failure)
		return
	}
	x := &exchange{host: h, w: w, r: r, id: id, route: route, service: h.chooseService(route), started: started, requiresKey: v.table.Configuration.RequiresKeys, tenant: tenant}
	x.deadline = started + h.requestTimeout(r, route.Timeout)
	x.requestBody.budget = h.options.Budget
	defer x.requestBody.release()
	result := x.prepare()
	if result != "" {
		x.refused = true
		x.giveBackQuota(result)
		klog.InfoS("request", "id", id, "result", result, "route", route.Name, "tenant", x.tenantName(), "revision", v.table.Configuration.Revision)
		return
	}
	if c, ok := w.(bodyControl); ok {
		c.BeginServing()
	}
	result = "aborted"
	defer func() {
		x.giveBackQuota(result)
		took := h.now() - started
		h.requestMetrics.recordRequest(x.service, result, took)
		values := []any{
			"id", id, "result", result, "route", route.Name, "service", x.service, "target", x.target,
			"sends", x.sends, "hedges", x.hedges, "unsent", x.unsent, "took", took,
			"expected", x.lastChoice.ExpectedLatency, "inFlight", x.lastChoice.InFlight, "reportAge", x.lastChoice.ReportAge, "revision", v.table.Configuration.Revision,
			"viewVersion", x.viewVersion, "viewAge", h.viewAge(),
		}
		if x.tenant != nil {
			values = append(values, "tenant", x.tenantName())
		}
		if x.scheduler != "" {
			values = append(values, "scheduler", x.scheduler, "wait", x.slotWait)
		}
		klog.InfoS("request", values...)
	}()
	result = x.run(r.Context())
}

// refuseUnknownRoute responds to a request without a route: with 404 if the configuration is current, else with 503, because the route
// may have been added since.
func (h *Host) refuseUnknownRoute(w http.ResponseWriter, id string, v *view) {
	status, code := http.StatusNotFound, "no-route"
	age := h.viewAge()
	if age > maxViewAge {
		status, code = http.StatusServiceUnavailable, "configuration-outdated"
		w.Header().Set("Retry-After", unconfiguredRetryAfter)
	}
	result := writeError(w, h.options.Protocol, id, status, code)
	klog.InfoS("request", "id", id, "result", result, "revision", v.table.Configuration.Revision, "viewVersion", v.version, "viewAge", age)
}

// requestTimeout is the time that a request has: the time that the caller states, but at most the timeout of the route.
func (h *Host) requestTimeout(r *http.Request, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if left, ok := h.options.Protocol.ParseDeadline(r.Header.Get(h.options.Protocol.DeadlineHeader)); ok {
		return min(left, timeout)
	}
	return timeout
}

// prepare checks the regions and the key, reads the body and checks that there is time for the request. If it refuses the request, it sends the response
// and returns the result for the log; otherwise it returns "".
func (x *exchange) prepare() string {
	regions, ok := x.route.RegionsFor(x.tenant)
	if !ok {
		x.host.requestMetrics.recordRefusal(string(reasonNoPermittedRegion))
		return x.refuse(reasonNoPermittedRegion, noPermittedRegionRetryAfter)
	}
	x.permittedRegions = regions
	if result := x.refuseWithoutRoom(); result != "" {
		return result
	}
	configuration := x.host.current().table.Configuration
	if service, ok := configuration.Services[x.service]; ok && service.Exclusive {
		key, err := strconv.ParseUint(x.r.Header.Get(x.host.options.Protocol.KeyHeader), 10, 32)
		if err != nil || key >= grants.Keys {
			return x.writeError(http.StatusBadRequest, "key-missing")
		}
		x.exclusive, x.key = true, uint32(key)
		x.host.keyLoads.recordRequest(x.service, x.key)
	}
	limit := configuration.Limits.MaxBody
	if limit > 0 && x.r.ContentLength > limit {
		return x.writeError(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	if result := x.readBody(); result != "" {
		return result
	}
	if x.timeLeft() <= 0 {
		return x.refuse(dispatch.ReasonLate, time.Duration(0))
	}
	if !x.host.stopPlan.Load().takes(x.host.now(), x.deadline) {
		return x.refuse(reasonStopping, time.Duration(0))
	}
	return ""
}

// bodyControl is implemented by the response writer of pkg/httpserver.
type bodyControl interface {
	// BeginServing keeps the connection from being closed for room while the rest of the body arrives.
	BeginServing()
	// SetBodyDeadline bounds the time in which the body is read.
	SetBodyDeadline(deadline time.Time)
}

// readBody buffers the body until the deadline of the request. If it refuses the request, it returns the result for the log.
func (x *exchange) readBody() string {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		return ""
	}
	control, controlled := x.w.(bodyControl)
	if controlled {
		control.SetBodyDeadline(time.Now().Add(x.timeLeft()))
	}
	err := x.requestBody.read(x.r)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		if controlled {
			// The rest of a long body is sent while it arrives; the deadline of the attempt bounds it.
			control.SetBodyDeadline(time.Time{})
		}
		return ""
	case errors.As(err, &tooLarge):
		return x.writeError(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errNoMemory):
		x.host.RecordRefusal(reasonNoMemory)
		x.w.Header().Set("Retry-After", bodyRetryAfter)
		return x.writeError(http.StatusServiceUnavailable, "no-memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x.writeError(http.StatusRequestTimeout, "body-timeout")
	}
	return x.writeError(http.StatusBadRequest, "body-incomplete")
}

const (
	// reasonNoMemory counts bodies that are refused because the budget has no room.
	reasonNoMemory = "no-memory-for-body"
	// bodyRetryAfter is the Retry-After value, in seconds, of these refusals. Bodies end within seconds.
	bodyRetryAfter = "1"
)

// errNoMemory reports a body for which the budget has no room.
var errNoMemory = merry.Sentinel("no memory for the body")

// requestBody is the body of a request. Its prefix is buffered; the rest of a long body can be sent only once.
type requestBody struct {
	prefix []byte
	// budget counts the buffer; it may be nil. counted is the number of bytes that it counts.
	budget  *memory.Budget
	counted int64
	// rest is the part after prefix; nil when prefix is the whole body.
	rest io.Reader
	// length is the length of the whole body, or -1 when it is not known; set only if rest is.
	length int64
	// restTaken is set once rest has been used for an attempt, restFailed once reading it has failed.
	restTaken  bool
	restFailed atomic.Bool
}

// Read implements io.Reader for rest, and records that the caller's side has failed, which says nothing about the target.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.restFailed.Store(true)
	}
	return n, err
}

// bodyBufferSizes are the sizes of the buffer while a body arrives. Memory is taken as data arrives, so that callers which only announce a
// body hold little.
var bodyBufferSizes = []int{16 << 10, 64 << 10, maxRetainedBody}

// read buffers the body, or its beginning if it is longer than maxRetainedBody.
func (b *requestBody) read(r *http.Request) error {
	want := maxRetainedBody
	if r.ContentLength >= 0 {
		want = int(min(r.ContentLength, maxRetainedBody))
	}
	for _, size := range bodyBufferSizes {
		size = min(size, want)
		if !b.budget.TryAcquire(memory.Bodies, int64(size)) {
			return errNoMemory
		}
		buffer := make([]byte, size)
		filled := copy(buffer, b.prefix)
		b.budget.Release(memory.Bodies, b.counted)
		b.counted = int64(size)
		n, err := fill(r.Body, buffer[filled:])
		b.prefix = buffer[:filled+n]
		if err != nil {
			return ignoreEOF(err)
		}
		if size == want {
			break
		}
	}
	if r.ContentLength == int64(want) {
		// Reads the end of the body, after which the connection is watched for the caller leaving.
		_, err := r.Body.Read(make([]byte, 1))
		return ignoreEOF(err)
	}
	b.rest, b.length = r.Body, r.ContentLength
	return nil
}

// fill reads until the buffer is full. Unlike io.ReadFull, it returns the error of the source.
func fill(source io.Reader, buffer []byte) (int, error) {
	filled := 0
	for filled < len(buffer) {
		n, err := source.Read(buffer[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// release ends the counting of the buffer.
func (b *requestBody) release() {
	b.budget.Release(memory.Bodies, b.counted)
	b.counted = 0
}

// takeRest returns rest, after which the body cannot be sent again; nil when prefix is the whole body.
func (b *requestBody) takeRest() io.Reader {
	if b.rest == nil {
		return nil
	}
	b.restTaken = true
	return b
}
