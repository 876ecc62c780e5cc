package proxy_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/proxy"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

var _ = Describe("path of a request", func() {
	It("reaches a target attached to the same host", func() {
		_, h, _ := oneHost()
		reply := ask("POST", h.address, "/desk/book/a%2Fb?x=1", "hello")
		Expect(reply.answer()).To(Equal(standin.Answer{
			Target: "t1", Key: key, Method: "POST", Path: "/book/a/b", Body: "hello", Runs: 1,
		}))
		Expect(reply.header.Get("Almondrock-Target")).To(Equal("t1"))
		Expect(reply.header.Get("Almondrock-Request-Id")).To(HaveLen(36))
	})

	It("reaches a target attached to another host", func() {
		_, h, _, server := twoHosts(standin.Options{})
		Expect(ask("POST", h.address, "/desk/book", "hello").answer().Runs).To(Equal(1))
		Expect(server.Runs()).To(HaveLen(1))
	})

	DescribeTable("I5: crosses to another data centre only within the home regions",
		func(from string, home []string, served bool) {
			w, _, _ := oneHost()
			far := w.addHost("h9", from)
			w.resolution.HomeRegions = home
			reply := ask("POST", far.address, "/desk/book", "hello", "Almondrock-Deadline-Ms", "300")
			if served {
				Expect(reply.answer().Target).To(Equal("t1"))
				return
			}
			Expect(reply.refusal().Ran).To(Equal(apierr.NotRun))
		},
		Entry("same region", "seoul-mapo", []string{"seoul"}, true),
		Entry("any region", "busan-haeundae", nil, true),
		Entry("both are home", "busan-haeundae", []string{"seoul", "busan"}, true),
		Entry("caller outside", "busan-haeundae", []string{"seoul"}, false),
		Entry("owner outside", "busan-haeundae", []string{"busan"}, false),
	)

	It("reaches any ready target of a shared service, wherever it is attached", func() {
		w := newWorld()
		w.resolution.Service.Kind = schemav1.ServiceKind_SERVICE_KIND_SHARED
		noFence := &schemav1.TargetCapabilities{}
		for _, name := range []string{"t1", "t2", "t3", "t4"} {
			w.addTarget(name, standin.Options{Capabilities: noFence})
		}
		w.targets["t1"].AttachedHost, w.targets["t2"].AttachedHost = "h0", "h1"
		w.targets["t3"].AttachedHost, w.targets["t3"].Lost = "h1", true
		w.targets["t4"].AttachedHost, w.targets["t4"].Announcement.Draining = "h1", true
		chosen := 0
		choose := func(o *proxy.Options) {
			o.Choose = func(_ string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord {
				Expect(ready).To(HaveLen(2))
				chosen++
				return w.targets[[]string{"t1", "t2"}[chosen%2]]
			}
		}
		h := w.addHost("h0", "seoul-gangnam", choose)
		w.addHost("h1", "seoul-gangnam", choose)
		w.sync()
		names := []string{}
		for range 4 {
			names = append(names, ask("GET", h.address, "/desk/a", "").answer().Target)
		}
		Expect(names).To(Equal([]string{"t2", "t1", "t2", "t1"}))
	})
})
