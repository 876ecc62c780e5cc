package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// serveThenClose starts a target that writes text as the response to each request and closes the connection.
func serveThenClose(text func() string) (address string) {
	return serveConnections(func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text())
	})
}

// patientClient returns a client that waits for connections as long as a busy machine may need.
func patientClient() *Client { return New(Options{IDHeader: "Request-Id", DialTimeout: patience}) }

const patience = 10 * time.Second

var _ = Describe("Response of a target that stops in the middle and closes", func() {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n"
	// Guards against a part of a response that is taken for the whole (200 with an empty or short body).
	DescribeTable("is a failure wherever it stops",
		func(method, response, body string, closeDelimited bool) {
			// Only the bytes up to the end of the head are looked at where the end of the connection is the end of the body.
			end := len(response)
			if closeDelimited {
				end = len(response) - len(body)
			}
			var stop atomic.Int64
			address := serveThenClose(func() string { return response[:stop.Load()] })
			for cut := range end {
				stop.Store(int64(cut))
				client := patientClient()
				r := newRequest(address, "1")
				r.Method, r.Deadline = method, time.Now().Add(patience)
				got, err := sendAndRead(client, r)
				Expect(err).To(HaveOccurred(), "cut after %d bytes (%q), body %q", cut, response[:cut], got)
				var failed *Error
				var incomplete *BodyError
				Expect(errors.As(err, &failed) || errors.As(err, &incomplete)).To(BeTrue(), "%v", err)
				if failed != nil {
					Expect(failed.Stage).NotTo(Equal(NotSent), "the request may have run")
				}
				Expect(client.takeIdle(address, "2")).To(BeNil(), "the connection is used again after %d bytes", cut)
			}
			r := newRequest(address, "1")
			r.Method, r.Deadline = method, time.Now().Add(patience)
			stop.Store(int64(len(response)))
			Expect(sendAndRead(patientClient(), r)).To(Equal(body))
		},
		Entry("length", "GET", head+"Content-Length: 1234\r\n\r\n"+strings.Repeat("b", 1234), strings.Repeat("b", 1234), false),
		Entry("length before the ID", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: 1\r\nX: y\r\n\r\n0123456789ab", "0123456789ab", false),
		Entry("lines without carriage returns", "GET", "HTTP/1.1 200 OK\nRequest-Id: 1\nContent-Length: 2\n\nok", "ok", false),
		Entry("no body", "GET", head+"Content-Length: 0\r\n\r\n", "", false),
		Entry("204", "GET", "HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\r\n", "", false),
		Entry("304", "GET", "HTTP/1.1 304 Not Modified\r\nRequest-Id: 1\r\nResponse-Signature: s\r\n\r\n", "", false),
		Entry("HEAD", "HEAD", head+"Content-Length: 1234\r\n\r\n", "", false),
		Entry("folded field", "GET", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nX: a\r\n \t b\r\nContent-Length: 2\r\n\r\nok", "ok", false),
		Entry("chunks", "GET", head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1;ext=1\r\n!\r\n0\r\n\r\n", "hello!", false),
		Entry("chunks and trailers", "GET", head+"Trailer: T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: v\r\nU: w\r\n\r\n", "hello", false),
		Entry("interim response", "GET", "HTTP/1.1 103 Early Hints\r\nRequest-Id: 1\r\nLink: a\r\n\r\n"+head+"Content-Length: 2\r\n\r\nok", "ok", false),
		Entry("late copy of another response", "GET", responseText("0", "late")+head+"Content-Length: 2\r\n\r\nok", "ok", false),
		Entry("end of the connection", "GET", head+"\r\nall of it", "all of it", true),
		Entry("end of the connection, HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\n\r\nall of it", "all of it", true),
	)

	It("is a failure wherever a reset stops a body that the end of the connection would end", func() {
		const response = head + "\r\nall of it"
		var cut atomic.Int64
		address := serveConnections(func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, response[:cut.Load()])
			// The reset must not overtake the bytes.
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		for ; cut.Load() <= int64(len(response)); cut.Add(1) {
			_, err := sendAndRead(patientClient(), newRequest(address, "1"))
			Expect(err).To(HaveOccurred(), "reset after %d bytes", cut.Load())
		}
	})

	DescribeTable("is a failure with a head that looks like its end",
		func(response string) {
			_, err := sendAndRead(patientClient(), newRequest(serveThenClose(func() string { return response }), "1"))
			Expect(err).To(HaveField("Stage", InvalidResponse))
		},
		Entry("a bare carriage return", head+"\r"),
		Entry("a space", head+" "),
		Entry("a tab", head+"\t"),
		Entry("spaces before the end", head+" \t "),
		Entry("a folded line without its end", head+" \r"),
		Entry("a field without a value", head+"Content-Length:"),
		Entry("an empty length", head+"Content-Length:\r\n\r\n"),
		Entry("a length with a sign", head+"Content-Length: +2\r\n\r\nok"),
		Entry("two lengths", head+"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"),
		Entry("a part of the word chunked", head+"Transfer-Encoding: chunk\r\n\r\nok"),
		Entry("a status line only", "HTTP/1.1 200 OK\r\n"),
		Entry("a status line without an end", "HTTP/1.1 200 OK"),
		Entry("a part of a status", "HTTP/1.1 20\r\nRequest-Id: 1\r\n\r\n"),
		Entry("a part of an interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"),
	)

	It("is a failure for an interim response without a further one", func() {
		_, err := sendAndRead(patientClient(), newRequest(serveThenClose(func() string { return "HTTP/1.1 103 Early Hints\r\nRequest-Id: 1\r\n\r\n" }), "1"))
		Expect(err).To(HaveField("Stage", Sent))
	})
})
