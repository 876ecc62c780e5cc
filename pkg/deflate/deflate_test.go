package deflate

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDeflate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deflate")
}

var _ = Describe("Compress", func() {
	It("is undone by Decompress, which bounds the length and rejects truncated data", func() {
		data := bytes.Repeat([]byte("target "), 10_000)
		compressed, err := Compress(data, Fast)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(compressed)).To(BeNumerically("<", len(data)/10))
		Expect(Decompress(compressed, int64(len(data)))).To(Equal(data))
		_, err = Decompress(compressed, int64(len(data)-1))
		Expect(err).To(MatchError(ErrTooLong))
		_, err = Decompress(compressed[:len(compressed)-4], int64(len(data)))
		Expect(err).To(HaveOccurred())
	})
})
