package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// invalidFields are field lines with names or values that HTTP does not allow.
var invalidFields = []TableEntry{
	Entry("a blank in the name", "X Y: v"),
	Entry("a blank before the colon", "X : v"),
	Entry("blanks before the colon", "X  : v"),
	Entry("a blank before the colon of a length", "Content-Length : 5"),
	Entry("a blank before the colon of an encoding", "Transfer-Encoding : chunked"),
	Entry("a blank in the name of a length", "Content Length: 5"),
	Entry("a tab before the colon", "X\t: v"),
	Entry("a control byte in the name", "X\x01Y: v"),
	Entry("a zero byte in the name", "X\x00: v"),
	Entry("a deleted byte in the name", "X\x7f: v"),
	Entry("a carriage return in the name", "X\rY: v"),
	Entry("a byte beyond ASCII in the name", "X\xe9: v"),
	Entry("a bracket in the name", "X(Y): v"),
	Entry("no name", ": v"),
	Entry("a control byte in the value", "X: \x01"),
	Entry("a zero byte in the value", "X: \x00v"),
}

// serveOnce starts a target that responds to each request with text and closes the connection.
func serveOnce(text string) string {
	return serveTrouble(func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		c.Close()
	})
}

// expectInvalid checks that a response is none, at once, and that the request counts as one that may have run.
func expectInvalid(text string) {
	began := time.Now()
	_, err := sendAndRead(patientClient(), newUpload(serveOnce(text), held, 10))
	Expect(err).To(HaveOccurred(), "%q", text)
	Expect(time.Since(began)).To(BeNumerically("<", patience/2))
	var failed *Error
	var incomplete *BodyError
	Expect(errors.As(err, &failed) || errors.As(err, &incomplete)).To(BeTrue(), "%v", err)
	if failed != nil {
		Expect(failed.Stage).To(Equal(InvalidResponse), "%v", err)
	}
}

// Guards against a response whose head has a line that is no field, which is passed on without that line or with a body that is cut elsewhere
// than the target meant (MIXED).
var _ = DescribeTable("Response with a malformed field is invalid",
	func(line string) {
		line += "\r\n"
		By("in the head")
		expectInvalid("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + line + "Content-Length: 5\r\n\r\nwhole")
		expectInvalid("HTTP/1.1 200 OK\r\n" + line + "Request-Id: 1\r\n\r\nwhole and more")
		expectInvalid("HTTP/1.0 200 OK\r\n" + line + "Request-Id: 1\r\n\r\nwhole and more")
		By("in the head of an interim response")
		expectInvalid("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + responseText("1", "ok"))
		By("in the head of a late response to another request")
		expectInvalid("HTTP/1.1 200 OK\r\nRequest-Id: 0\r\n" + line + "Content-Length: 4\r\n\r\nlate" + responseText("1", "ok"))
		By("in the trailers")
		expectInvalid("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n")
		expectInvalid("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n" + line + "\r\n")
		By("in the trailers of a late response to another request")
		expectInvalid("HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n" + responseText("1", "ok"))
	},
	invalidFields,
)

var _ = It("Response that announces a trailer whose name is no name is invalid", func() {
	expectInvalid("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTrailer: T, X Y\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n\r\n")
})

var _ = It("Response whose ID has a blank before the colon is invalid where the ID is optional", func() {
	client := New(Options{IDHeader: "Request-Id", IDOptional: true, DialTimeout: patience})
	_, err := sendAndRead(client, newUpload(serveOnce("HTTP/1.1 200 OK\r\nRequest-Id : 0\r\nContent-Length: 2\r\n\r\nok"), held, 10))
	Expect(err).To(HaveField("Stage", InvalidResponse))
})

// Guards against a check that refuses names or values which HTTP allows.
var _ = DescribeTable("Response with unusual but valid fields is taken",
	func(response string) {
		body, err := sendAndRead(patientClient(), newUpload(serveOnce(response), held, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ok"))
	},
	Entry("lower case", "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ncontent-length: 2\r\n\r\nok"),
	Entry("all characters of a token", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 2\r\n\r\nok"),
	Entry("no blank behind the colon, and several", "HTTP/1.1 200 OK\r\nRequest-Id:1\r\nContent-Length: \t 2 \t\r\n\r\nok"),
	Entry("empty values, and bytes beyond ASCII in them", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nX:\r\nY: \xe9\r\nContent-Length: 2\r\n\r\nok"),
	Entry("trailers", "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: v\r\nu: \r\n\r\n"),
)
