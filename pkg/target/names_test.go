package target_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

// receive sends a request to a target that responds with text and closes the connection, and reads the response to its end.
func receive(text string) (body string, trailer http.Header, err error) {
	server, err := standin.StartRaw(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		c.Close()
	})
	Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	pool := target.NewPool(target.PoolOptions{MaxIdle: 4})
	defer pool.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+server.Address(), strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	exchange, err := pool.Send(request, nil)
	if err != nil {
		return "", nil, err
	}
	defer exchange.Discard()
	content, err := io.ReadAll(exchange.Response.Body)
	return string(content), exchange.Response.Trailer, err
}

// Guards against a response whose head has a line that is no field, which is passed on without that line or with a body that is cut elsewhere
// than the target meant.
var _ = DescribeTable("I6: a response with a malformed field is an error, after which the request may have run",
	func(line string) {
		line += "\r\n"
		expectError := func(text string) {
			_, _, err := receive(text)
			Expect(err).To(HaveOccurred(), "%q", text)
			var failed *target.SendError
			if errors.As(err, &failed) {
				Expect(failed.WriteStarted).To(BeTrue())
			}
		}
		By("in the head")
		expectError("HTTP/1.1 200 OK\r\n" + line + "Content-Length: 5\r\n\r\nwhole")
		By("in the head of an interim response")
		expectError("HTTP/1.1 103 Early Hints\r\n" + line + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		By("in the trailers")
		expectError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n")
		expectError("HTTP/1.1 200 OK\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n" + line + "\r\n")
	},
	Entry("a blank in the name", "X Y: v"),
	Entry("a blank before the colon", "X : v"),
	Entry("a blank before the colon of a length", "Content-Length : 5"),
	Entry("a blank before the colon of an encoding", "Transfer-Encoding : chunked"),
	Entry("a tab before the colon", "X\t: v"),
	Entry("a control byte in the name", "X\x01Y: v"),
	Entry("a zero byte in the name", "X\x00: v"),
	Entry("a carriage return in the name", "X\rY: v"),
	Entry("no name", ": v"),
	Entry("a control byte in the value", "X: \x01"),
)

var _ = It("I6: a response with valid trailers is taken with them", func() {
	body, trailer, err := receive("HTTP/1.1 200 OK\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\nU: w\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(Equal("ok"))
	Expect(trailer).To(Equal(http.Header{"T": {"v"}, "U": {"w"}}))
})
