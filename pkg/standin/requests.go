package standin

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/target"
)

// ResponseBody is the JSON body of the responses on all paths except those of files.
type ResponseBody struct {
	Target string `json:"target"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Executions is the number of POST and PATCH requests that the target has run for the key.
	Executions int `json:"runs"`
}

// FilePrefix is the prefix of the paths that serve files. The query parameter size is the number of bytes.
const FilePrefix = "/files/"

// Sizes of files and request bodies.
const (
	defaultFileSize = 1 << 20
	maxFileSize     = 64 << 20
	maxBodySize     = 64 << 20
)

// exchange is one request and its response writer, with the faults that were set when it arrived.
type exchange struct {
	request   *http.Request
	writer    http.ResponseWriter
	shardID   shardID
	body      []byte
	requestID string
	key       string
	faults    Faults
	// releaseSlot releases the slot that the request occupies.
	releaseSlot func()
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.waitWhileFrozen()
	inFlight := s.inFlight.Add(1)
	releaseSlot := sync.OnceFunc(func() { s.inFlight.Add(-1) })
	defer releaseSlot()
	s.mu.Lock()
	s.counts.Requests++
	faults := s.faults
	s.mu.Unlock()
	exchange := &exchange{
		request: r, writer: w, faults: faults, releaseSlot: releaseSlot, requestID: r.Header.Get(target.HeaderRequestID), key: r.Header.Get(target.HeaderKey),
	}
	s.setRequestID(exchange)
	if faults.Leaving {
		w.Header().Set(target.HeaderLeaving, "1")
	}
	if faults.Refuse {
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		s.refuse(exchange, http.StatusServiceUnavailable, "shed", &s.counts.Refused)
		return
	}
	if inFlight > int64(s.options.Slots) {
		s.refuse(exchange, http.StatusServiceUnavailable, "over slots", &s.counts.Overloads)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		// A request whose body is incomplete must not be run.
		s.refuse(exchange, http.StatusBadRequest, "incomplete body", &s.counts.Refused)
		return
	}
	exchange.body = body
	s.waitWhileFrozen()
	s.execute(exchange, inFlight)
}

// execute runs the request. It checks deadline and grant immediately before.
func (s *Server) execute(exchange *exchange, inFlight int64) {
	s.mu.Lock()
	reason := s.refusal(exchange)
	if reason != "" {
		s.mu.Unlock()
		s.refuse(exchange, http.StatusConflict, reason, &s.counts.Refused)
		return
	}
	index, executions := s.recordExecution(exchange)
	cold := s.warmupCount < s.faults.WarmupRequests
	s.warmupCount++
	if cold && inFlight > 1 {
		s.counts.ColdFailures++
		s.mu.Unlock()
		http.Error(exchange.writer, "cold", http.StatusInternalServerError)
		return
	}
	s.mu.Unlock()
	s.simulateServiceTime(exchange, cold)
	s.mu.Lock()
	s.executions[index].RunTime = s.options.Clock() - s.executions[index].StartedAt
	s.mu.Unlock()
	s.respond(exchange, executions)
}

// refusal returns why the request must not run, or an empty string. The caller must hold s.mu.
func (s *Server) refusal(exchange *exchange) string {
	now := s.options.Clock()
	header := exchange.request.Header
	if at := header.Get(target.HeaderDeadlineAt); at != "" && s.options.Capabilities.GetDeadline() {
		deadline, err := strconv.ParseUint(at, 10, 64)
		if err != nil || clockMs(now) >= deadline {
			return "deadline passed"
		}
	}
	if grant, ok := target.ParseShard(header.Get(target.HeaderShard)); ok {
		exchange.shardID = shardIDOf(grant)
	}
	if !s.options.Capabilities.GetFence() {
		return ""
	}
	fence, ok := target.ParseFence(header.Get(target.HeaderFence))
	if !ok || !s.grants.allows(exchange.shardID, fence, now) {
		return "stale or missing grant"
	}
	return ""
}

func (s *Server) recordExecution(exchange *exchange) (index, executions int) {
	method := exchange.request.Method
	s.executions = append(s.executions, Execution{
		Key: exchange.key, Keyspace: exchange.shardID.keyspace, Shard: exchange.shardID.shard, RequestID: exchange.requestID,
		Method: method, Fence: exchange.request.Header.Get(target.HeaderFence), StartedAt: s.options.Clock(),
	})
	if method == http.MethodPost || method == http.MethodPatch {
		s.executionsByKey[exchange.key]++
	}
	return len(s.executions) - 1, s.executionsByKey[exchange.key]
}

// simulateServiceTime waits for the service time that the faults set. With the cancel capability it returns when the sender
// has closed the connection.
func (s *Server) simulateServiceTime(exchange *exchange, cold bool) {
	duration := exchange.faults.ServiceTime
	if cold || exchange.faults.Slow {
		duration *= slowFactor
	}
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	if !s.options.Capabilities.GetCancel() {
		<-timer.C
		return
	}
	select {
	case <-timer.C:
	case <-exchange.request.Context().Done():
	}
}

func (s *Server) respond(exchange *exchange, executions int) {
	if exchange.faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(exchange.faults.ResponseDelay)
	var writer http.ResponseWriter = &slotReleasingWriter{ResponseWriter: exchange.writer, releaseSlot: exchange.releaseSlot}
	if s.shouldTruncate(exchange.faults) {
		writer = &truncatingWriter{ResponseWriter: writer, remaining: exchange.faults.TruncateAfter}
	}
	if strings.HasPrefix(exchange.request.URL.Path, FilePrefix) {
		serveFile(writer, exchange.request)
		return
	}
	data, _ := json.Marshal(ResponseBody{
		Target: s.options.Name, Key: exchange.key, Method: exchange.request.Method, Path: exchange.request.URL.Path,
		Body: string(exchange.body), Executions: executions,
	})
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = writer.Write(data)
}

func (s *Server) shouldTruncate(faults Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.TruncateAfter == 0 || (faults.TruncateCount > 0 && s.truncatedCount >= faults.TruncateCount) {
		return false
	}
	s.truncatedCount++
	return true
}

func (s *Server) setRequestID(exchange *exchange) {
	switch exchange.faults.RequestID {
	case RequestIDWrong:
		exchange.writer.Header().Set(target.HeaderRequestID, "other-"+exchange.requestID)
	case RequestIDMissing:
	case RequestIDEcho:
		exchange.writer.Header().Set(target.HeaderRequestID, exchange.requestID)
	}
}

func (s *Server) refuse(exchange *exchange, status int, reason string, count *int) {
	s.mu.Lock()
	*count++
	s.mu.Unlock()
	exchange.writer.Header().Set(target.HeaderNotRun, "1")
	http.Error(exchange.writer, reason, status)
}

func (s *Server) waitWhileFrozen() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	<-thawed
}

// FileContent returns the bytes of a file. They depend only on path and size.
func FileContent(path string, size int) []byte {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(path))
	source := rand.NewChaCha8([32]byte{byte(digest.Sum64()), byte(digest.Sum64() >> 8), byte(digest.Sum64() >> 16)})
	content := make([]byte, size)
	_, _ = source.Read(content)
	return content
}

// serveFile serves a file with a strong entity tag and supports Range and If-Range (RFC 9110 sections 13 and 14).
func serveFile(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 0 || size > maxFileSize {
		size = defaultFileSize
	}
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(r.URL.String()))
	if w.Header().Get("ETag") == "" {
		w.Header().Set("ETag", `"`+strconv.FormatUint(digest.Sum64(), 16)+`"`)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(FileContent(r.URL.Path, size)))
}

// slotReleasingWriter releases the slot before the last byte of the response is written. When the sender has that byte, its
// next request may arrive before the handler has returned, and must not count as an overload.
type slotReleasingWriter struct {
	http.ResponseWriter
	releaseSlot func()
	written     int
}

func (w *slotReleasingWriter) Write(data []byte) (int, error) {
	w.written += len(data)
	if length, err := strconv.Atoi(w.Header().Get("Content-Length")); err == nil && w.written >= length {
		w.releaseSlot()
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *slotReleasingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// truncatingWriter closes the connection after remaining bytes of the body.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

func (w *truncatingWriter) Write(data []byte) (int, error) {
	if len(data) <= w.remaining {
		w.remaining -= len(data)
		return w.ResponseWriter.Write(data)
	}
	_, _ = w.ResponseWriter.Write(data[:w.remaining])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
