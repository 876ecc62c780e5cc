package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"almondrock.example/almondrock/pkg/memory"
)

const (
	// initialBufferSize is the size of the read buffer of a connection in bytes until a longer head arrives. Connections without a request
	// hold no more.
	initialBufferSize = 1 << 10
	// bufferGrowth is the factor by which a read buffer grows while a head does not fit.
	bufferGrowth = 4
	// maxEmptyLines is the number of empty lines that are skipped before a request line. RFC 9112, section 2.2, asks for at least one.
	maxEmptyLines = 4
	// requestCost, headByteCost and headLineCost estimate the memory of a request from its complete head to the end of its response: the
	// goroutine and the fixed parts, the head as it arrived and its parsed and forwarded copies. A line of three bytes was measured to
	// cost 140 bytes.
	requestCost  = 8 << 10
	headByteCost = 2
	headLineCost = 256
	// maxHeadCost bounds the estimate for one head. A head of 16 KiB, the largest that configurations allow, costs 1.4 MiB when it consists
	// of the shortest lines.
	maxHeadCost = 2 << 20
	// maxMethod is the longest method in bytes. The longest registered one has 17.
	maxMethod = 64
)

// headScan finds the end of a head and counts its lines while the head arrives.
type headScan struct {
	// scanned is the number of bytes that were looked at, lineStart where the current line begins.
	scanned, lineStart, lines int
	// malformed is set when the first line is no request line.
	malformed bool
}

// feed looks at the part of the head that has arrived, which begins with the parts of earlier calls. It reports whether the head is
// complete or its first line is certainly malformed.
func (s *headScan) feed(head []byte) bool {
	for {
		i := bytes.IndexByte(head[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(head)
			return false
		}
		line := head[s.lineStart : s.scanned+i]
		s.scanned += i + 1
		s.lineStart = s.scanned
		s.lines++
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return true
		}
		if s.lines == 1 && !isRequestLine(bytes.TrimSuffix(line, []byte("\r"))) {
			s.malformed = true
			return true
		}
	}
}

// isRequestLine reports whether a line has the parts of a request line. net/http's parser copies a malformed line several times into its error.
func isRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || len(method) > maxMethod {
		return false
	}
	_, version, ok := bytes.Cut(rest, []byte(" "))
	return ok && len(version) == len("HTTP/1.1") && bytes.HasPrefix(version, []byte("HTTP/"))
}

// cost estimates the memory of the part of the head that was looked at, once it is parsed.
func (s *headScan) cost() int64 {
	return int64(s.scanned)*headByteCost + int64(s.lines)*headLineCost
}

// awaitHead reads ahead until the head of a request is complete in the buffer and returns its cost, which is counted in the budget.
func (c *conn) awaitHead() (int64, error) {
	if err := c.skipEmptyLines(); err != nil {
		return 0, err
	}
	scan := headScan{}
	for {
		head, _ := c.reader.Peek(c.reader.Buffered())
		complete := scan.feed(head)
		if scan.cost() > maxHeadCost || scan.scanned > c.server.options.MaxHeaderBytes || (!complete && len(head) >= c.server.options.MaxHeaderBytes) {
			return 0, &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
		}
		if scan.malformed {
			return 0, &RequestError{Status: http.StatusBadRequest, Reason: "malformed request line"}
		}
		if complete {
			cost := scan.cost() + requestCost
			if !c.server.options.Budget.TryAcquire(memory.Heads, cost) {
				return 0, &RequestError{Status: http.StatusServiceUnavailable, Reason: "no memory for header"}
			}
			return cost, nil
		}
		if len(head) == c.reader.Size() && !c.growReader(min(bufferGrowth*len(head), max(bufferSize, c.server.options.MaxHeaderBytes))) {
			return 0, &RequestError{Status: http.StatusServiceUnavailable, Reason: "no memory for header"}
		}
		if _, err := c.reader.Peek(len(head) + 1); err != nil && c.reader.Buffered() <= len(head) {
			return 0, &RequestError{Reason: "header incomplete", Cause: err}
		}
	}
}

// skipEmptyLines discards empty lines before a request line.
func (c *conn) skipEmptyLines() error {
	for lines := 0; ; lines++ {
		start, err := c.reader.Peek(1)
		if err != nil {
			return &RequestError{Reason: "header incomplete", Cause: err}
		}
		length := 1
		if start[0] == '\r' {
			if start, err = c.reader.Peek(2); err != nil {
				return &RequestError{Reason: "header incomplete", Cause: err}
			}
			length = 2
		}
		if start[length-1] != '\n' {
			return nil
		}
		if lines == maxEmptyLines {
			return &RequestError{Status: http.StatusBadRequest, Reason: "too many empty lines"}
		}
		_, _ = c.reader.Discard(length)
	}
}

// growReader replaces the read buffer by one of at least size bytes. What exceeds bufferSize counts in the budget; it returns false if that
// has no room.
func (c *conn) growReader(size int) bool {
	if size <= c.reader.Size() {
		return true
	}
	extra := int64(max(0, size-bufferSize))
	if !c.server.options.Budget.TryAcquire(memory.Heads, extra-c.extraBuffer) {
		return false
	}
	c.extraBuffer = extra
	c.replaceReader(size)
	return true
}

// shrinkReader gives up a large read buffer if what it holds fits into a usual one.
func (c *conn) shrinkReader() {
	if c.reader.Size() > bufferSize && c.reader.Buffered() <= bufferSize {
		c.replaceReader(bufferSize)
		c.releaseExtraBuffer()
	}
}

func (c *conn) releaseExtraBuffer() {
	c.server.options.Budget.Release(memory.Heads, c.extraBuffer)
	c.extraBuffer = 0
}

// replaceReader replaces the read buffer and keeps its content. It returns the source of the new one.
func (c *conn) replaceReader(size int) *pendingReader {
	pending, _ := c.reader.Peek(c.reader.Buffered())
	if len(pending) == 0 {
		// An empty slice would keep the old buffer as long as the connection.
		pending = nil
	}
	source := &pendingReader{pending: pending, source: c.raw}
	c.reader = bufio.NewReaderSize(source, size)
	// Moves the pending bytes into the new buffer, so that the old one can be freed.
	_, _ = c.reader.Peek(len(pending))
	return source
}

// pendingReader reads pending, and then source.
type pendingReader struct {
	pending []byte
	source  io.Reader
}

// Read implements io.Reader.
func (r *pendingReader) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	if len(r.pending) == 0 {
		r.pending = nil
	}
	return n, nil
}

// isTimeout reports whether a read has reached its deadline.
func isTimeout(err error) bool {
	var failure interface{ Timeout() bool }
	return errors.As(err, &failure) && failure.Timeout()
}
