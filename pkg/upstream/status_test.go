package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a caller that gets an answer whose status is no status, such as 000 of a target in trouble (MIXED), and against a target that
// such a message keeps waiting for a response that will not come.
var _ = DescribeTable("A response whose status no final response has is invalid at once",
	func(status, extra string) {
		c := New(Options{IDHeader: "Request-Id", Dial: answering("HTTP/1.1 " + status + "\r\nRequest-Id: 1\r\n" + extra)})
		request := newRequest("target", "1")
		request.Deadline = time.Now().Add(10 * time.Second)
		began := time.Now()
		_, err := c.Send(context.Background(), request)
		var failed *Error
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Stage).To(Equal(InvalidResponse), "%v", err)
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	},
	Entry("000", "000 None", "Content-Length: 0\r\n\r\n"),
	Entry("000 without a reason", "000", "Content-Length: 2\r\n\r\nok"),
	Entry("000 and a response behind it", "000 None", "Content-Length: 0\r\n\r\n"+responseText("1", "ok")),
	Entry("099", "099 Low", "\r\n"+responseText("1", "ok")),
	Entry("with a sign", "+99 Low", "\r\n"+responseText("1", "ok")),
	Entry("101", "101 Switching Protocols", "Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n"+responseText("1", "ok")),
	Entry("600", "600 High", "Content-Length: 0\r\n\r\n"),
	Entry("999", "999 High", "Content-Length: 2\r\n\r\nok"),
	Entry("interim with content", "103 Early Hints", "Content-Length: 2\r\n\r\nok"+responseText("1", "ok")),
	Entry("interim with content that looks like the response", "103 Early Hints", "Content-Length: 90\r\n\r\n"+responseText("1", "ok")),
	Entry("interim in chunks", "103 Early Hints", "Transfer-Encoding: chunked\r\n\r\n"+responseText("1", "ok")),
	Entry("interim without end", "103 Early Hints", "\r\n"+strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 1<<16)),
)

var _ = It("Interim responses without content come before the response", func() {
	c := New(Options{IDHeader: "Request-Id", Dial: answering("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nLink: a\r\n\r\n" + responseText("1", "ok"))})
	response, err := c.Send(context.Background(), newRequest("target", "1"))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	response.Finish()
})

// answering returns a dial function for a target that answers the first request on a connection with text and keeps the connection open.
func answering(text string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				_, _ = io.WriteString(there, text)
			}
		}()
		return here, nil
	}
}
