package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"

	"almondrock.example/almondrock/pkg/guard"
)

// exchange is one request and its response. It implements http.ResponseWriter for the handler. Writes wait until the responses to
// all earlier requests of the connection have been written.
type exchange struct {
	conn    *conn
	request *http.Request
	handler http.Handler
	// body is the body of the request, or nil if it has none.
	body *requestBody
	// concurrent is set when the request may be handled at the same time as others of the connection.
	concurrent bool
	// previous is the exchange before this one, until its response has been written.
	previous atomic.Pointer[exchange]
	// earlier is closed when the response to the previous request has been written; nil for the first request.
	earlier <-chan struct{}
	// usesWriter is set once the exchange has taken the write buffer of the connection, which it gives back at its end.
	usesWriter bool
	// done is closed when the response has been written.
	done chan struct{}

	// cost is what the budget counts for the header.
	cost int64
	// serving is set once the handler has begun to serve the request, although its body has not arrived.
	serving atomic.Bool

	header http.Header
	// headMu orders the interim response, which the reader of the body sends, before the final one. Only the handler's goroutine changes
	// wroteHeader.
	headMu      sync.Mutex
	wroteHeader bool
	status      int
	// remaining is the number of body bytes that must still be written, or -1 when the length is not known.
	remaining int64
	// chunked and noBody describe how the response body is sent.
	chunked, noBody bool
	// final is set when the connection closes after this response.
	final bool
	err   error
}

func newExchange(c *conn, request *http.Request, previous *exchange) *exchange {
	x := &exchange{
		conn: c, handler: c.server.options.Handler, done: make(chan struct{}), header: http.Header{}, remaining: -1,
	}
	if previous != nil {
		x.earlier = previous.done
		x.previous.Store(previous)
	}
	if request.Body != nil && request.Body != http.NoBody && request.ContentLength != 0 {
		x.body = &requestBody{source: request.Body, finished: make(chan struct{}), exchange: x}
		x.body.expectContinue.Store(request.ProtoAtLeast(1, 1) && httpguts.HeaderValuesContainsToken(request.Header["Expect"], "100-continue"))
		request.Body = x.body
	} else {
		request.Body = http.NoBody
	}
	request.RemoteAddr, request.TLS = c.remote, c.tls
	x.request = request
	x.serving.Store(c.server.options.StreamsBodies)
	x.concurrent = x.body == nil && isSafe(request.Method) && !request.Close && request.ProtoAtLeast(1, 1)
	return x
}

// isSafe reports whether a method is safe as defined by RFC 9110, section 9.2.1. RFC 9112, section 9.3.2, allows pipelined requests of
// such methods to be handled at the same time.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// ancestor returns the exchange n places before x on the connection, or nil if the response of it or of one in between has been written.
// Responses end concurrently, so each link is loaded once.
func (x *exchange) ancestor(n int) *exchange {
	for ; n > 0 && x != nil; n-- {
		x = x.previous.Load()
	}
	return x
}

// isDone reports whether the response has been written.
func (x *exchange) isDone() bool {
	select {
	case <-x.done:
		return true
	default:
		return false
	}
}

// run handles the request and completes the response.
func (x *exchange) run() {
	ctx, cancel := context.WithCancel(x.conn.ctx)
	defer cancel()
	unusable := x.handle(x.request.WithContext(ctx))
	x.beginFinal()
	x.conn.finish(x, unusable)
}

// handle calls the handler and ends the response. It returns true when the connection cannot be used any more.
func (x *exchange) handle(request *http.Request) (unusable bool) {
	defer func() {
		if guard.IsAbort(recover()) {
			unusable = true
		}
	}()
	err := guard.Run("request", func() error {
		x.handler.ServeHTTP(x, request)
		x.end()
		return nil
	})
	if err != nil && !x.wroteHeader {
		x.header = http.Header{"Connection": {"close"}}
		x.WriteHeader(http.StatusInternalServerError)
		x.end()
	}
	return err != nil || x.err != nil
}

// end completes the response after the handler has returned.
func (x *exchange) end() {
	if !x.wroteHeader {
		if x.header.Get("Content-Length") == "" {
			x.header.Set("Content-Length", "0")
		}
		x.WriteHeader(http.StatusOK)
	}
	if x.err != nil {
		return
	}
	if x.remaining > 0 && !x.noBody {
		x.err = ErrShortBody
	} else if x.chunked {
		x.err = x.writeTrailers()
	}
	// What was written of an incomplete response is sent too, so that the caller sees where it ended.
	if err := x.openWriter().Flush(); x.err == nil {
		x.err = err
	}
	if x.err == nil {
		x.conn.unfinished.Store(false)
	}
	if x.body != nil && x.err == nil && !x.final {
		x.body.discard()
	}
}

// openWriter returns the write buffer of the connection. It is the exchange's turn to write.
func (x *exchange) openWriter() *bufio.Writer {
	x.usesWriter = true
	return x.conn.openWriter()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. It waits for the responses to earlier requests.
func (x *exchange) WriteHeader(status int) {
	if x.wroteHeader {
		return
	}
	x.beginFinal()
	x.status = status
	if x.earlier != nil {
		select {
		case <-x.earlier:
		case <-x.conn.ctx.Done():
		}
	}
	if err := x.conn.ctx.Err(); err != nil {
		x.err = err
		return
	}
	x.err = x.writeHead()
}

// beginFinal records that the final response begins, or that there is none. No interim response follows.
func (x *exchange) beginFinal() {
	x.headMu.Lock()
	defer x.headMu.Unlock()
	x.wroteHeader = true
}

// framingHeaders are the header fields that the server sets itself.
var framingHeaders = map[string]bool{"Connection": true, "Transfer-Encoding": true}

// excludedHeaders returns the header fields that do not belong to the header of the response.
func (x *exchange) excludedHeaders() map[string]bool {
	excluded := framingHeaders
	add := func(name string) {
		if len(excluded) == len(framingHeaders) {
			excluded = maps.Clone(framingHeaders)
		}
		excluded[name] = true
	}
	for _, name := range x.header["Trailer"] {
		add(http.CanonicalHeaderKey(name))
	}
	for name := range x.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			add(name)
		}
	}
	return excluded
}

// writeTrailers ends a chunked body with the fields that the Trailer field announces, one in each of its values, and those with
// http.TrailerPrefix.
func (x *exchange) writeTrailers() error {
	w := x.openWriter()
	if _, err := w.WriteString("0\r\n"); err != nil {
		return err
	}
	trailers := http.Header{}
	for _, name := range x.header["Trailer"] {
		name = http.CanonicalHeaderKey(name)
		if values, ok := x.header[name]; ok {
			trailers[name] = values
		}
	}
	for name, values := range x.header {
		if name, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailers[name] = values
		}
	}
	if err := trailers.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeHead writes the status line and the header fields.
func (x *exchange) writeHead() error {
	x.noBody = x.request.Method == http.MethodHead || x.status < http.StatusOK || x.status == http.StatusNoContent || x.status == http.StatusNotModified
	if length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		x.remaining = length
	} else {
		x.header.Del("Content-Length")
	}
	requested := x.request.Close || httpguts.HeaderValuesContainsToken(x.header["Connection"], "close") ||
		(x.body != nil && x.body.precludesReuse())
	if x.remaining < 0 && !x.noBody {
		x.chunked = x.request.ProtoAtLeast(1, 1)
		requested = requested || !x.chunked
		x.conn.unfinished.Store(!x.chunked)
	}
	final, err := x.conn.decideClose(x, requested)
	if err != nil {
		return err
	}
	x.final = final
	w := x.openWriter()
	if _, err := w.WriteString("HTTP/1.1 " + strconv.Itoa(x.status) + " " + http.StatusText(x.status) + "\r\n"); err != nil {
		return err
	}
	if err := x.header.WriteSubset(w, x.excludedHeaders()); err != nil {
		return err
	}
	rest := ""
	if _, ok := x.header["Date"]; !ok {
		rest = "Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n"
	}
	if x.chunked {
		rest += "Transfer-Encoding: chunked\r\n"
	}
	switch {
	case x.final:
		rest += "Connection: close\r\n"
	case !x.request.ProtoAtLeast(1, 1):
		rest += "Connection: keep-alive\r\n"
	}
	_, err = w.WriteString(rest + "\r\n")
	return err
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	switch {
	case x.err != nil:
		return 0, x.err
	case x.noBody:
		return 0, http.ErrBodyNotAllowed
	case len(p) == 0:
		return 0, nil
	case x.remaining >= 0 && int64(len(p)) > x.remaining:
		return 0, http.ErrContentLength
	}
	n, err := x.writeBody(p)
	if x.remaining >= 0 {
		x.remaining -= int64(n)
	}
	x.err = err
	return n, err
}

func (x *exchange) writeBody(p []byte) (int, error) {
	w := x.openWriter()
	if !x.chunked {
		return w.Write(p)
	}
	if _, err := w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n"); err != nil {
		return 0, err
	}
	n, err := w.Write(p)
	if err == nil {
		_, err = w.WriteString("\r\n")
	}
	return n, err
}

// BeginServing tells that the handler has begun to serve the request before the whole body has arrived. The connection is not closed for room
// from then on.
func (x *exchange) BeginServing() { x.serving.Store(true) }

// SetReadDeadline is called by http.ResponseController. It bounds reads of the body; other reads have deadlines of their own.
func (x *exchange) SetReadDeadline(deadline time.Time) error {
	if x.body != nil && !x.body.ended.Load() {
		x.conn.setReadDeadline(deadline)
	}
	return nil
}

// SetBodyDeadline lets reads of the body end at a time, without an end of the connection. The zero time means none. It must not be called
// while the body is being read.
func (x *exchange) SetBodyDeadline(deadline time.Time) {
	if x.body != nil {
		x.body.deadline = deadline
	}
}

// awaitsBody reports whether the handler still waits for the body and has not begun to serve the request.
func (x *exchange) awaitsBody() bool {
	return x.body != nil && !x.body.ended.Load() && !x.serving.Load()
}

// Flush implements http.Flusher.
func (x *exchange) Flush() {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if x.err == nil {
		x.err = x.openWriter().Flush()
	}
}

// requestBody is the body of a request. It sends the interim response that the caller may wait for, and signals its end.
type requestBody struct {
	source   io.ReadCloser
	exchange *exchange
	// expectContinue is set while the caller waits for an interim response before it sends the body.
	expectContinue atomic.Bool
	finished       chan struct{}
	ended          atomic.Bool
	complete       atomic.Bool
	// received is the number of bytes that have arrived, and waited how long reads have waited for them.
	received int64
	waited   time.Duration
	// deadline is when reads end in any case; none if it is zero.
	deadline time.Time
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.ended.Load() {
		if b.complete.Load() {
			return 0, io.EOF
		}
		return 0, http.ErrBodyReadAfterClose
	}
	if b.expectContinue.Load() {
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.readInTime(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// sendContinue sends the interim response for which the caller waits, unless the final response has begun. The handler may respond while
// another goroutine reads the body.
func (b *requestBody) sendContinue() error {
	x := b.exchange
	x.headMu.Lock()
	defer x.headMu.Unlock()
	if x.wroteHeader || !b.expectContinue.Swap(false) {
		return nil
	}
	w := x.openWriter()
	if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// readInTime reads a part of the body. The caller may let a read wait for BodyTimeout, and all reads together for BodyTimeout and the time
// that the received part takes at minBodyRate. The time in which the handler does not read does not count.
func (b *requestBody) readInTime(p []byte) (int, error) {
	timeout := b.exchange.conn.server.options.BodyTimeout
	if timeout <= 0 {
		return b.source.Read(p)
	}
	began := time.Now()
	left := timeout + time.Duration(float64(b.received)/minBodyRate*float64(time.Second)) - b.waited
	deadline := began.Add(min(timeout, left))
	if !b.deadline.IsZero() && b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	b.exchange.conn.setReadDeadline(deadline)
	n, err := b.source.Read(p)
	b.received += int64(n)
	b.waited += time.Since(began)
	if err != nil {
		b.exchange.conn.setReadDeadline(time.Time{})
	}
	return n, err
}

// end records that the body has been read to its end, or cannot be. A caller that has left cancels all its requests.
func (b *requestBody) end(err error) {
	if b.ended.Swap(true) {
		return
	}
	b.complete.Store(errors.Is(err, io.EOF))
	var failure net.Error
	switch {
	case isTimeout(err):
		// The caller still gets the response, which ends the connection.
		b.exchange.conn.server.refused(ReasonBodyTimeout, b.exchange.conn.remote, nil)
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failure):
		b.exchange.conn.cancel()
	}
	close(b.finished)
}

// Close implements io.Closer. The rest of the body is discarded when the response has been written.
func (b *requestBody) Close() error { return nil }

// isComplete reports whether the body has been read to its end.
func (b *requestBody) isComplete() bool { return b.complete.Load() }

// precludesReuse reports whether no request can follow on the connection, because the end of the body may not be reached: the caller
// still waits for the interim response, the body is malformed, or more than maxDiscardedBody of it may be left.
func (b *requestBody) precludesReuse() bool {
	if b.ended.Load() {
		return !b.complete.Load()
	}
	length := b.exchange.request.ContentLength
	return b.expectContinue.Load() || length < 0 || length > maxDiscardedBody
}

// discard reads the rest of a short body, so that the next request can be read.
func (b *requestBody) discard() {
	if b.ended.Load() {
		return
	}
	// An error is recorded by Read.
	_, _ = io.CopyN(io.Discard, b, maxDiscardedBody+1)
}

// ErrConnectionClosing reports a response that cannot be sent because an earlier response announced the end of the connection.
var ErrConnectionClosing = merry.Sentinel("an earlier response has closed the connection")

// ErrShortBody reports a handler that wrote less than the Content-Length of its response.
var ErrShortBody = merry.Sentinel("response body is shorter than its content length")

// RequestError reports a request that could not be read.
type RequestError struct {
	// Status is the status of the response, or 0 when the connection is closed without one.
	Status int
	Reason string
	Cause  error
}

// refusalReason is the reason that OnRefuse receives.
func (e *RequestError) refusalReason() string {
	switch e.Status {
	case http.StatusRequestHeaderFieldsTooLarge:
		return ReasonHeadTooLarge
	case http.StatusServiceUnavailable:
		return ReasonNoMemory
	}
	return ReasonHeadMalformed
}

// Error implements error.
func (e *RequestError) Error() string {
	parts := []string{e.Reason}
	if e.Cause != nil {
		parts = append(parts, e.Cause.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }
