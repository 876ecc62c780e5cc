// Package headlimit limits the bytes that are read for the header of an HTTP message, which net/http's parsers do not.
package headlimit

import "io"

// Reader passes on reads of its source. Between Begin and End it reads at most a limited number of bytes. It is meant to be the source
// of a bufio.Reader, whose buffered data is not counted.
type Reader struct {
	source    io.Reader
	limited   bool
	remaining int
	err       error
}

// New returns a Reader without a limit.
func New(source io.Reader) *Reader { return &Reader{source: source} }

// Begin limits reads to limit bytes in total, after which they return io.EOF.
func (r *Reader) Begin(limit int) { r.limited, r.remaining, r.err = true, limit, nil }

// End ends the limit. It reports whether the limit was reached, and the last error of the source since Begin.
func (r *Reader) End() (exceeded bool, err error) {
	r.limited = false
	return r.remaining <= 0, r.err
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.err = err
	return n, err
}
