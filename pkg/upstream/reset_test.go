package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/standin"
)

const (
	// resetRounds is how often each case of a race is repeated.
	resetRounds = 40
	// unsizedHead is the head of a response without a length.
	unsizedHead = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\r\n"
)

// upload is how a request body is sent.
type upload string

const (
	held     upload = "held"
	streamed upload = "streamed"
	inChunks upload = "in chunks"
)

var uploads = []upload{held, streamed, inChunks}

// uploadContent is more than the buffers of two sockets hold.
var uploadContent = bytes.Repeat([]byte("u"), 32<<20)

// newUpload returns a request with a body of size bytes.
func newUpload(address string, kind upload, size int) *Request {
	r := newRequest(address, "1")
	r.Method, r.Deadline = http.MethodPost, time.Now().Add(patience)
	body := uploadContent[:size]
	if kind == held {
		r.Body = body
		return r
	}
	prefix := min(size, 64<<10)
	r.Body, r.BodyRest, r.ContentLength = body[:prefix], bytes.NewReader(body[prefix:]), int64(size)
	if kind == inChunks {
		r.ContentLength = -1
	}
	return r
}

// serveTrouble starts a target that calls respond for each request and returns its address.
func serveTrouble(respond func(c *net.TCPConn, r *http.Request)) string {
	server, err := standin.StartRaw(respond)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address()
}

// receive sends a request and reads the body of the response, as a held or a streamed one.
func receive(c *Client, r *Request, asStream bool) (string, error) {
	if !asStream {
		return sendAndRead(c, r)
	}
	response, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		response.Abort()
		return string(body), err
	}
	response.Finish()
	return string(body), nil
}

// Guards against a part of a response that is taken for the whole, because the write of the request met the reset of the connection before the
// read of the response did.
var _ = DescribeTable("Response without a length is never complete when the connection ends before the request was sent",
	func(kind upload, size int, part int, delay time.Duration, end func(*net.TCPConn)) {
		address := serveTrouble(func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, unsizedHead+strings.Repeat("p", part))
			time.Sleep(delay)
			end(c)
		})
		taken := 0
		for round := range resetRounds {
			if _, err := receive(patientClient(), newUpload(address, kind, size), round%2 == 1); err == nil {
				taken++
			}
		}
		Expect(taken).To(BeZero(), "parts of %d that were taken for complete responses", resetRounds)
	},
	resetEntries(),
)

// resetEntries returns the cases: each kind of body, sizes below and above what the sockets hold, small and large parts, ends at once and later.
func resetEntries() []TableEntry {
	var entries []TableEntry
	for _, kind := range uploads {
		for _, size := range []int{10, 64 << 10, 256 << 10, 1 << 20, 8 << 20} {
			for _, part := range []int{10, 100 << 10} {
				for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
					entries = append(entries, Entry(fmt.Sprintf("%v, %d bytes, part of %d, reset after %v", kind, size, part, delay), kind, size, part, delay, standin.Reset))
				}
			}
		}
		entries = append(entries,
			Entry(fmt.Sprintf("%v, head only", kind), kind, 8<<20, 0, time.Millisecond, standin.Reset),
			Entry(fmt.Sprintf("%v, close", kind), kind, 8<<20, 10, time.Millisecond, func(c *net.TCPConn) { c.Close() }),
			Entry(fmt.Sprintf("%v, end of the response before the reset", kind), kind, 8<<20, 10, time.Millisecond, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(time.Millisecond)
				standin.Reset(c)
			}),
		)
	}
	return entries
}

var _ = Describe("Response without a length", func() {
	const content = "the whole response"

	DescribeTable("is complete when the connection ends in order after the whole request was sent",
		func(kind upload, size int, head string, end func(*net.TCPConn) error) {
			body := strings.Repeat("b", 100<<10)
			address := serveTrouble(func(c *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, head+body)
				_ = end(c)
			})
			for round := range resetRounds {
				got, err := receive(patientClient(), newUpload(address, kind, size), round%2 == 1)
				Expect(err).NotTo(HaveOccurred(), "round %d", round)
				Expect(got == body).To(BeTrue(), "%d bytes", len(got))
			}
		},
		func() (entries []TableEntry) {
			for _, kind := range uploads {
				for _, size := range []int{0, 10, 64 << 10, 256 << 10, 1 << 20} {
					entries = append(entries, Entry(fmt.Sprintf("%v, %d bytes", kind, size), kind, size, unsizedHead, (*net.TCPConn).Close))
				}
			}
			return append(entries,
				Entry("HTTP/1.0", held, 64<<10, strings.Replace(unsizedHead, "1.1", "1.0", 1), (*net.TCPConn).Close),
				Entry("half-closed", held, 64<<10, unsizedHead, (*net.TCPConn).CloseWrite),
			)
		}(),
	)

	// The next specs fix the order in which the write of the request and the read of the response meet the end of the connection.
	type ends struct{ write, read chan struct{} }
	// send sends an upload and reads the response. Of the calls on the connection after the head of the response, write replaces the writes and
	// read the reads.
	send := func(kind upload, size int, respond func(*net.TCPConn, *http.Request), write, read func(e *ends, c net.Conn, p []byte) (int, error)) (string, error) {
		e := &ends{make(chan struct{}), make(chan struct{})}
		address := serveTrouble(respond)
		client := New(Options{IDHeader: "Request-Id", Dial: func(context.Context, string, string) (net.Conn, error) {
			c, err := net.Dial("tcp", address)
			return &orderedConn{
				Conn:  c,
				write: func(p []byte) (int, error) { return write(e, c, p) },
				read:  func(p []byte) (int, error) { return read(e, c, p) },
			}, err
		}})
		return receive(client, newUpload(address, kind, size), false)
	}
	respondThenReset := func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, unsizedHead+"part")
		time.Sleep(time.Millisecond)
		standin.Reset(c)
	}

	for _, kind := range uploads {
		It(fmt.Sprintf("is not complete when the write meets the reset first (%v)", kind), func() {
			_, err := send(kind, 8<<20, respondThenReset,
				func(e *ends, c net.Conn, p []byte) (int, error) {
					n, err := c.Write(p)
					if err != nil {
						close(e.write)
						<-e.read
					}
					return n, err
				},
				func(e *ends, c net.Conn, p []byte) (int, error) {
					<-e.write
					defer close(e.read)
					n, err := c.Read(p)
					Expect(err).To(Equal(io.EOF), "the reset was not reported twice")
					return n, err
				})
			Expect(err).To(MatchError(ErrRequestIncomplete))
			var incomplete *BodyError
			Expect(errors.As(err, &incomplete)).To(BeTrue())
		})

		It(fmt.Sprintf("is not complete when the read meets the reset first (%v)", kind), func() {
			_, err := send(kind, 8<<20, respondThenReset,
				func(e *ends, c net.Conn, p []byte) (int, error) {
					<-e.read
					return c.Write(p)
				},
				func(e *ends, c net.Conn, p []byte) (int, error) {
					defer close(e.read)
					return c.Read(p)
				})
			Expect(err).To(MatchError(syscall.ECONNRESET))
		})

		It(fmt.Sprintf("is complete when it ends while the last write of the request returns (%v)", kind), func() {
			got, err := send(kind, 64<<10,
				func(c *net.TCPConn, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, unsizedHead+content)
					c.Close()
				},
				func(e *ends, c net.Conn, p []byte) (int, error) {
					n, err := c.Write(p)
					if bytes.HasSuffix(p, []byte(lastChunk)) || kind != inChunks {
						<-e.read
					}
					return n, err
				},
				func(e *ends, c net.Conn, p []byte) (int, error) {
					n, err := c.Read(p)
					if errors.Is(err, io.EOF) {
						close(e.read)
					}
					return n, err
				})
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(content))
		})

		It(fmt.Sprintf("is not complete, and holds nothing up, when it ends while the target reads no more (%v)", kind), func() {
			address := serveTrouble(func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, unsizedHead+"part")
				_ = c.CloseWrite()
				time.Sleep(2 * patience)
			})
			began := time.Now()
			_, err := receive(patientClient(), newUpload(address, kind, len(uploadContent)), false)
			Expect(err).To(MatchError(ErrRequestIncomplete))
			Expect(time.Since(began)).To(BeNumerically("<", patience/2))
		})
	}

	It("is not complete, and holds nothing up, when it ends while the caller sends no more", func() {
		rest, unfinished := io.Pipe()
		DeferCleanup(unfinished.Close)
		address := serveTrouble(func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, unsizedHead+"part"); c.Close() })
		r := newUpload(address, streamed, 64<<10)
		r.BodyRest, r.ContentLength = rest, 128<<10
		began := time.Now()
		_, err := receive(patientClient(), r, false)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", patience/2))
	})
})

// orderedConn is a connection on which read replaces the reads after the first, and write the writes after it.
type orderedConn struct {
	net.Conn
	wrote, didRead bool
	write, read    func(p []byte) (int, error)
}

// Write implements net.Conn. The first write is that of the head of the request.
func (c *orderedConn) Write(p []byte) (int, error) {
	if !c.wrote {
		c.wrote = true
		return c.Conn.Write(p)
	}
	return c.write(p)
}

// Read implements net.Conn. The first read returns the head of the response.
func (c *orderedConn) Read(p []byte) (int, error) {
	if !c.didRead {
		c.didRead = true
		return c.Conn.Read(p)
	}
	return c.read(p)
}
