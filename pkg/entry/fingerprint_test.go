package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/suspects"
)

var _ = Describe("Fingerprint of a request", func() {
	of := func(method, uri, body string, header ...string) suspects.Fingerprint {
		h := newHost([]string{"127.0.0.1:1"}, testTimeout)
		h.options.Protocol.CallerHeaders = []string{"Key"}
		r := httptest.NewRequest(method, uri, strings.NewReader(body))
		for i := 0; i+1 < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		x := &exchange{host: h, r: r}
		Expect(x.requestBody.read(r)).To(Succeed())
		return x.fingerprint()
	}

	It("is the same when a caller repeats the request with another ID and deadline", func() {
		first := of(http.MethodPost, "http://a/unsafe/1?q=2", "body", "Id", "1", "Left-Ms", "900", "Key", "7")
		Expect(of(http.MethodPost, "http://a/unsafe/1?q=2", "body", "Id", "2", "Left-Ms", "300", "Key", "7")).To(Equal(first))
		for _, other := range []suspects.Fingerprint{
			of(http.MethodPut, "http://a/unsafe/1?q=2", "body", "Key", "7"), of(http.MethodPost, "http://b/unsafe/1?q=2", "body", "Key", "7"),
			of(http.MethodPost, "http://a/unsafe/1?q=3", "body", "Key", "7"), of(http.MethodPost, "http://a/unsafe/1?q=2", "other", "Key", "7"),
			of(http.MethodPost, "http://a/unsafe/1?q=2", "body", "Key", "8"), of(http.MethodPost, "http://a/unsafe/1?q=2", "body"),
		} {
			Expect(other).NotTo(Equal(first))
		}
	})

	It("covers the beginning and the length of a body that is too long to be kept", func() {
		long := strings.Repeat("x", maxRetainedBody+10)
		Expect(of(http.MethodPost, "http://a/", long)).To(Equal(of(http.MethodPost, "http://a/", long)))
		Expect(of(http.MethodPost, "http://a/", long)).NotTo(Equal(of(http.MethodPost, "http://a/", long+"x")))
	})
})
