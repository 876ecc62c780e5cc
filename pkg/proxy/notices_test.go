package proxy_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/standin"
)

var _ = Describe("Target", func() {
	It("gets no further attempt and no further request once it has asked for a pause", func() {
		_, h, server := oneHost()
		server.SetFaults(func(f *standin.Faults) { f.Refuse, f.RetryAfter = true, "30" })
		for range 3 {
			refusal := sendRequest("GET", h.ingressAddress, "/desk/book", "").refusal()
			Expect(refusal.Code).To(Equal(apierr.Overloaded))
			Expect(refusal.Ran).To(Equal(apierr.NotRun))
			Expect(refusal.RetryAfterSeconds).To(BeNumerically("~", 30, 1))
		}
		Expect(server.Counts().Requests).To(Equal(1))
	})

	It("is reported as leaving when it says so in a response", func() {
		_, h, server := oneHost()
		server.SetFaults(func(f *standin.Faults) { f.Leaving = true })
		Expect(sendRequest("GET", h.ingressAddress, "/desk/book", "").status).To(Equal(http.StatusOK))
		Expect(h.manager.TakeReports()[0].GetLeaving()).To(BeTrue())
	})
})
