package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/grants"
)

const (
	// keptBody is the size in bytes of a body that is kept, so that the request can be sent again.
	keptBody = 256 << 10
	// defaultDeadline applies to requests and routes that state none.
	defaultDeadline = 30 * time.Second
	// startRetryAfter is the pause for callers of a host that has no configuration yet.
	startRetryAfter = "0.300"
)

// serve handles one request of a caller.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	p := h.options.Protocol
	started := h.now()
	id := r.Header.Get(p.RequestIDHeader)
	v := h.current()
	if v.table == nil {
		w.Header().Set("Retry-After", startRetryAfter)
		fail(w, p, id, http.StatusServiceUnavailable, "no-configuration")
		klog.InfoS("request", "id", id, "result", "no-configuration")
		return
	}
	if id == "" {
		fail(w, p, id, http.StatusBadRequest, "request-id-missing")
		return
	}
	route, ok := v.table.Find(r.Host, r.URL.EscapedPath())
	if !ok {
		result := fail(w, p, id, http.StatusNotFound, "no-route")
		klog.InfoS("request", "id", id, "result", result, "revision", v.table.Configuration.Revision, "viewVersion", v.version)
		return
	}
	x := &exchange{host: h, w: w, r: r, id: id, route: route, service: h.split(route), started: started}
	x.deadline = started + h.timeFor(r, route.Timeout)
	if result := x.prepare(); result != "" {
		klog.InfoS("request", "id", id, "result", result, "route", route.Name, "revision", v.table.Configuration.Revision)
		return
	}
	result := "aborted"
	defer func() {
		took := h.now() - started
		h.measures.note(x.service, result, took)
		klog.InfoS("request", "id", id, "result", result, "route", route.Name, "service", x.service, "target", x.target,
			"sends", x.sends, "hedges", x.hedges, "unsent", x.unsent, "took", took,
			"expected", x.last.ExpectedLatency, "inFlight", x.last.InFlight, "reportAge", x.last.ReportAge, "revision", v.table.Configuration.Revision,
			"viewVersion", x.viewVersion, "viewAge", h.now()-time.Duration(h.confirmedAt.Load()))
	}()
	result = x.run(r.Context())
}

// timeFor is the time that a request has: the caller's, but not more than the route's.
func (h *Host) timeFor(r *http.Request, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if left, ok := h.options.Protocol.ParseDeadline(r.Header.Get(h.options.Protocol.DeadlineHeader)); ok {
		return min(left, timeout)
	}
	return timeout
}

// prepare checks the key and reads the body. It returns the result of a request that was refused.
func (x *exchange) prepare() string {
	configuration := x.host.current().table.Configuration
	if service, ok := configuration.Services[x.service]; ok && service.Exclusive {
		key, err := strconv.ParseUint(x.r.Header.Get(x.host.options.Protocol.KeyHeader), 10, 32)
		if err != nil || key >= grants.Keys {
			return x.fail(http.StatusBadRequest, "key-missing")
		}
		x.exclusive, x.key = true, uint32(key)
		x.host.keyLoads.note(x.service, x.key)
	}
	limit := configuration.Limits.MaxBody
	if limit > 0 && x.r.ContentLength > limit {
		return x.fail(http.StatusRequestEntityTooLarge, "body-too-large")
	}
	if limit > 0 {
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	if err := x.body.read(x.r); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return x.fail(http.StatusRequestEntityTooLarge, "body-too-large")
		}
		x.w.Header().Set("Connection", "close")
		return x.fail(http.StatusBadRequest, "body-incomplete")
	}
	if x.left() <= 0 {
		return x.refuse(dispatch.ReasonLate, time.Duration(0))
	}
	return ""
}

// body is the body of a request. Its start is kept; the rest of a long one can be sent only once.
type body struct {
	start  []byte
	rest   io.Reader
	length int64
	// spent is set when the rest has been given out.
	spent bool
}

func (b *body) read(r *http.Request) error {
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	var buffer bytes.Buffer
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, keptBody))
	if err != nil {
		return err
	}
	b.start = buffer.Bytes()
	if n == keptBody && n != r.ContentLength {
		b.rest, b.length = r.Body, r.ContentLength
	}
	return nil
}

func (b *body) take() io.Reader {
	b.spent = b.rest != nil
	return b.rest
}
