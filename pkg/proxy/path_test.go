package proxy_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/proxy"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
)

var _ = Describe("path of a request", func() {
	It("reaches a target attached to the same host", func() {
		_, h, _ := oneHost()
		reply := ask("POST", h.address, "/desk/book/a%2Fb?x=1", "hello")
		Expect(reply.answer()).To(Equal(standin.ResponseBody{
			Target: "t1", Key: key, Method: "POST", Path: "/book/a/b", Body: "hello", Executions: 1,
		}))
		Expect(reply.header.Get("Almondrock-Target")).To(Equal("t1"))
		Expect(reply.header.Get("Almondrock-Request-Id")).To(HaveLen(36))
	})

	It("reaches a target attached to another host", func() {
		_, h, _, server := twoHosts(standin.Options{})
		Expect(ask("POST", h.address, "/desk/book", "hello").answer().Executions).To(Equal(1))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("I10: serves callers while it drains, and sends their next requests elsewhere", func() {
		_, h, _, _ := twoHosts(standin.Options{})
		// closes reports whether the answer asks the caller to use another connection.
		closes := func(path string, status int) bool {
			request, _ := http.NewRequest("GET", "http://"+h.address+path, nil)
			request.Header.Set("Almondrock-Key", key)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(status))
			return response.Close
		}
		Expect(closes("/desk/a", 200)).To(BeFalse())
		Expect(closes("/other/a", 404)).To(BeFalse())
		h.draining.Store(true)
		Expect(closes("/desk/a", 200)).To(BeTrue())
		Expect(closes("/other/a", 404)).To(BeTrue())
	})

	It("I5: logs one line per decision, without the key, and without its hash outside the home regions", func() {
		var lines bytes.Buffer
		klog.LogToStderr(false)
		klog.SetOutput(&lines)
		DeferCleanup(func() {
			klog.SetOutput(io.Discard)
			klog.LogToStderr(true)
		})
		w := newWorld()
		w.addTarget("t1", standin.Options{})
		h := w.addHost("h1", "seoul-gangnam", func(o *proxy.Options) { o.Log = decisionlog.New("h1", true) })
		w.own("t1", "h1", 5)
		Expect(ask("GET", h.address, "/desk/a", "").status).To(Equal(200))
		w.resolution.HomeRegions = []string{"busan"}
		Expect(ask("GET", h.address, "/desk/a", "").status).To(Equal(421))
		klog.Flush()
		Expect(lines.String()).To(ContainSubstring(`target="t1" fence="1.1.5" attempt=2 reason="answered"`))
		Expect(lines.String()).To(MatchRegexp(`keyHash="" .* reason="wrong-region"`))
		Expect(strings.Count(lines.String(), "\n")).To(Equal(2))
		Expect(lines.String()).NotTo(ContainSubstring(key))
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
		servers := map[string]*standin.Server{}
		for _, name := range []string{"t1", "t2", "t3", "t4"} {
			servers[name] = w.addTarget(name, standin.Options{Capabilities: noFence})
		}
		w.targets["t1"].AttachedHost, w.targets["t2"].AttachedHost = "h0", "h1"
		w.targets["t3"].AttachedHost, w.targets["t3"].Lost = "h1", true
		w.targets["t4"].AttachedHost, w.targets["t4"].Announcement.Draining = "h1", true
		chosen := 0
		choose := func(o *proxy.Options) {
			o.ChooseTarget = func(_ string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord {
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
		// What one target refuses before running it, another may run.
		servers["t2"].SetFaults(func(f *standin.Faults) { f.Refuse = true })
		Expect(ask("POST", h.address, "/desk/a", "b").answer().Target).To(Equal("t1"))
		Expect(servers["t2"].Executions()).To(HaveLen(2))
	})
})
