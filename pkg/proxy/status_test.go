package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/target"
)

// Guards against a caller that gets an answer whose status is no status, such as 000 of a target in trouble (I6).
var _ = DescribeTable("I6: an answer with a status that no response has is refused",
	func(head string) {
		h := hostsWithRawTarget(func(w http.ResponseWriter, r *http.Request) {
			connection, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer connection.Close()
			id := target.HeaderRequestID + ": " + r.Header.Get(target.HeaderRequestID) + "\r\n"
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", head, id)
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+id+"Content-Length: 2\r\n\r\nok")
		})
		refusal := sendRequest("POST", h.ingressAddress, "/desk/a", "").refusal()
		Expect(refusal.Code).To(BeElementOf(apierr.BadResponse, apierr.OutcomeUnknown))
		Expect(refusal.Ran).To(Equal(apierr.RunUnknown))
	},
	Entry(nil, "000 None"), Entry(nil, "099 Low"), Entry(nil, "101 Switching Protocols"), Entry(nil, "600 High"), Entry(nil, "999 High"),
	Entry("interim answer with a body", "103 Early Hints\r\nContent-Length: 80"),
	Entry("interim answers without end", strings.Repeat("103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 ", 1<<13)+"103 Early Hints"),
)
