package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a caller that gets an answer whose status is no status, such as 000 of a target in trouble, or waits for its deadline (MIXED).
var _ = DescribeTable("Caller whose target answers with a status that no response has gets 502 at once, or the answer of another target",
	func(status string) {
		h := startHost()
		bad := serveRaw(func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nProof: p\r\nContent-Length: 0\r\n\r\n", status, id)
		})
		applyAddresses(h, []string{bad})
		sentAt := time.Now()
		got, _, _ := sendRequest(h, "/unsafe/")
		Expect(got).To(Equal(http.StatusBadGateway))
		Expect(time.Since(sentAt)).To(BeNumerically("<", 500*time.Millisecond))
		good := serveRaw(respondOK)
		applyRestarted(h, 2, []string{bad, good})
		for range 4 {
			got, body, _ := sendRequest(h, "/safe/")
			Expect(got).To(Equal(http.StatusOK))
			Expect(body).To(Equal("ok"))
		}
	},
	Entry(nil, "000 None"), Entry(nil, "000"), Entry(nil, "099 Low"), Entry(nil, "101 Switching Protocols"), Entry(nil, "600 High"), Entry(nil, "999 High"),
)

var _ = It("A caller gets 502 for interim answers without end, and for one with a body", func() {
	h := startHost()
	for i, respond := range []func(c net.Conn, id string){
		func(c net.Conn, _ string) { writeForever(c, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n") },
		func(c net.Conn, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nContent-Length: 80\r\n\r\n")
			respondOK(c, id)
		},
	} {
		applyRestarted(h, int64(i+1), []string{serveRaw(respond)})
		got, _, _ := sendRequest(h, "/unsafe/")
		Expect(got).To(Equal(http.StatusBadGateway))
	}
})
