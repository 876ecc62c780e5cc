package suspects

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Fingerprint", func() {
	It("depends on each part and on where it ends", func() {
		of := func(parts ...string) Fingerprint {
			var encoded [][]byte
			for _, part := range parts {
				encoded = append(encoded, []byte(part))
			}
			return FingerprintOf(encoded...)
		}
		Expect(of("GET", "a", "/x")).To(Equal(of("GET", "a", "/x")))
		Expect(of("GET", "a", "/x")).NotTo(Equal(of("GET", "a/", "x")))
		Expect(of("GET", "a", "/x")).NotTo(Equal(of("GET", "a", "/x", "")))
	})
})
