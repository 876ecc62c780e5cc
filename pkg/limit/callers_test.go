package limit_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/limit"
)

var _ = Describe("CallerLimit", func() {
	It("bounds requests per host and per tenant, and counts each end once (I7)", func() {
		callers := limit.NewConcurrencyLimit(3, 2)
		leave, err := callers.Enter("a")
		Expect(err).NotTo(HaveOccurred())
		_, err = callers.Enter("a")
		Expect(err).NotTo(HaveOccurred())
		_, err = callers.Enter("a")
		Expect(apierr.From(err)).To(HaveField("Code", apierr.TenantLimit))
		_, err = callers.Enter("b")
		Expect(err).NotTo(HaveOccurred())
		_, err = callers.Enter("c")
		Expect(apierr.From(err)).To(And(HaveField("Code", apierr.Overloaded), HaveField("Ran", apierr.NotRun)))
		leave()
		leave()
		Expect(callers.Running()).To(Equal(2))
	})
})
