package limit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/limit"
)

var _ = Describe("ConcurrencyLimit", func() {
	It("bounds requests per host and per tenant, and ignores a second call of leave (I7)", func() {
		limiter := limit.NewConcurrencyLimit(3, 2)
		leave, err := limiter.Enter("a")
		Expect(err).NotTo(HaveOccurred())
		_, err = limiter.Enter("a")
		Expect(err).NotTo(HaveOccurred())
		_, err = limiter.Enter("a")
		Expect(apierr.From(err)).To(HaveField("Code", apierr.TenantLimit))
		_, err = limiter.Enter("b")
		Expect(err).NotTo(HaveOccurred())
		_, err = limiter.Enter("c")
		Expect(apierr.From(err)).To(And(HaveField("Code", apierr.Overloaded), HaveField("Ran", apierr.NotRun)))
		leave()
		leave()
		Expect(limiter.Running()).To(Equal(2))
	})
})
