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

// ResponseBody is the JSON body of all paths but files.
type ResponseBody struct {
	Target string `json:"target"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Executions is the number of non-idempotent requests that the target has run for the key.
	Executions int `json:"runs"`
}

// FilePrefix starts the paths that serve files. The query's size is the number of bytes.
const FilePrefix = "/files/"

// Sizes of files and bodies.
const (
	defaultFileSize = 1 << 20
	maxFileSize     = 64 << 20
	maxBodySize     = 64 << 20
)

// work is one request as the handler sees it.
type work struct {
	request   *http.Request
	writer    http.ResponseWriter
	unit      unit
	body      []byte
	requestID string
	key       string
	faults    Faults
	// release gives the slot back.
	release func()
}

func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	s.waitThawed()
	running := s.running.Add(1)
	release := sync.OnceFunc(func() { s.running.Add(-1) })
	defer release()
	s.mu.Lock()
	s.counts.Requests++
	faults := s.faults
	s.mu.Unlock()
	work := &work{
		request: r, writer: w, faults: faults, release: release, requestID: r.Header.Get(target.HeaderRequestID), key: r.Header.Get(target.HeaderKey),
	}
	s.setRequestID(work)
	if faults.Refuse {
		s.refuse(work, http.StatusServiceUnavailable, "shed", &s.counts.Refused)
		return
	}
	if running > int64(s.options.Slots) {
		s.refuse(work, http.StatusServiceUnavailable, "over slots", &s.counts.Overloads)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		// An incomplete request must not be run.
		s.refuse(work, http.StatusBadRequest, "incomplete body", &s.counts.Refused)
		return
	}
	work.body = body
	s.waitThawed()
	s.run(work, running)
}

// run checks the right to run the request immediately before it runs.
func (s *Server) run(work *work, running int64) {
	s.mu.Lock()
	reason := s.refusal(work)
	if reason != "" {
		s.mu.Unlock()
		s.refuse(work, http.StatusConflict, reason, &s.counts.Refused)
		return
	}
	index, runs := s.record(work)
	cold := s.warmed < s.faults.WarmupRequests
	s.warmed++
	if cold && running > 1 {
		s.counts.ColdFailures++
		s.mu.Unlock()
		http.Error(work.writer, "cold", http.StatusInternalServerError)
		return
	}
	s.mu.Unlock()
	s.serviceTime(work, cold)
	s.mu.Lock()
	s.runs[index].RunTime = s.options.Clock() - s.runs[index].StartedAt
	s.mu.Unlock()
	s.answer(work, runs)
}

// refusal returns why the work must not run, or nothing. It needs the lock.
func (s *Server) refusal(work *work) string {
	now := s.options.Clock()
	header := work.request.Header
	if at := header.Get(target.HeaderDeadlineAt); at != "" && s.options.Capabilities.GetDeadline() {
		deadline, err := strconv.ParseUint(at, 10, 64)
		if err != nil || clockMs(now) >= deadline {
			return "deadline passed"
		}
	}
	if grant, ok := target.ParseShard(header.Get(target.HeaderShard)); ok {
		work.unit = unitOf(grant)
	}
	if !s.options.Capabilities.GetFence() {
		return ""
	}
	fence, ok := target.ParseFence(header.Get(target.HeaderFence))
	if !ok || !s.grants.allows(work.unit, fence, now) {
		return "stale or missing grant"
	}
	return ""
}

func (s *Server) record(work *work) (index, runs int) {
	method := work.request.Method
	s.runs = append(s.runs, Execution{
		Key: work.key, Keyspace: work.unit.keyspace, Shard: work.unit.shard, RequestID: work.requestID,
		Method: method, Fence: work.request.Header.Get(target.HeaderFence), StartedAt: s.options.Clock(),
	})
	if method == http.MethodPost || method == http.MethodPatch {
		s.byKey[work.key]++
	}
	return len(s.runs) - 1, s.byKey[work.key]
}

// serviceTime lasts as long as the faults say. A target with the cancel capability stops when its sender is gone.
func (s *Server) serviceTime(work *work, cold bool) {
	took := work.faults.ServiceTime
	if cold || work.faults.Slow {
		took *= slowFactor
	}
	if took <= 0 {
		return
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	if !s.options.Capabilities.GetCancel() {
		<-timer.C
		return
	}
	select {
	case <-timer.C:
	case <-work.request.Context().Done():
	}
}

func (s *Server) answer(work *work, runs int) {
	if work.faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(work.faults.ResponseDelay)
	var writer http.ResponseWriter = &lastWriter{ResponseWriter: work.writer, release: work.release}
	if s.cutsThis(work.faults) {
		writer = &cutWriter{ResponseWriter: writer, left: work.faults.TruncateAfter}
	}
	if strings.HasPrefix(work.request.URL.Path, FilePrefix) {
		serveFile(writer, work.request)
		return
	}
	data, _ := json.Marshal(ResponseBody{
		Target: s.options.Name, Key: work.key, Method: work.request.Method, Path: work.request.URL.Path,
		Body: string(work.body), Executions: runs,
	})
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = writer.Write(data)
}

func (s *Server) cutsThis(faults Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.TruncateAfter == 0 || (faults.TruncateCount > 0 && s.cut >= faults.TruncateCount) {
		return false
	}
	s.cut++
	return true
}

func (s *Server) setRequestID(work *work) {
	switch work.faults.RequestID {
	case RequestIDWrong:
		work.writer.Header().Set(target.HeaderRequestID, "other-"+work.requestID)
	case RequestIDMissing:
	case RequestIDEcho:
		work.writer.Header().Set(target.HeaderRequestID, work.requestID)
	}
}

func (s *Server) refuse(work *work, status int, reason string, count *int) {
	s.mu.Lock()
	*count++
	s.mu.Unlock()
	work.writer.Header().Set(target.HeaderNotRun, "1")
	http.Error(work.writer, reason, status)
}

func (s *Server) waitThawed() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	<-thawed
}

// FileContent returns the bytes of a file; they depend on path and size only.
func FileContent(path string, size int) []byte {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(path))
	source := rand.NewChaCha8([32]byte{byte(digest.Sum64()), byte(digest.Sum64() >> 8), byte(digest.Sum64() >> 16)})
	content := make([]byte, size)
	_, _ = source.Read(content)
	return content
}

// serveFile answers with a strong entity tag and supports Range and If-Range (RFC 9110 sections 13 and 14).
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

// lastWriter gives the slot back before the last byte is written: once the sender has it, the next request may arrive
// before the handler has returned, and must not count as over the slots.
type lastWriter struct {
	http.ResponseWriter
	release func()
	written int
}

func (l *lastWriter) Write(data []byte) (int, error) {
	l.written += len(data)
	if length, err := strconv.Atoi(l.Header().Get("Content-Length")); err == nil && l.written >= length {
		l.release()
	}
	return l.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController find the writer.
func (l *lastWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

// cutWriter ends the connection after a number of body bytes.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (c *cutWriter) Write(data []byte) (int, error) {
	if len(data) <= c.left {
		c.left -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.left])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
