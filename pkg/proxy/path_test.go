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

var _ = Describe("routing of a request", func() {
	It("reaches a target attached to the same host", func() {
		_, h, _ := oneHost()
		reply := sendRequest("POST", h.ingressAddress, "/desk/book/a%2Fb?x=1", "hello")
		Expect(reply.standInBody()).To(Equal(standin.ResponseBody{
			Target: "t1", Key: key, Method: "POST", Path: "/book/a/b", Body: "hello", Executions: 1,
		}))
		Expect(reply.header.Get("Almondrock-Target")).To(Equal("t1"))
		Expect(reply.header.Get("Almondrock-Request-Id")).To(HaveLen(36))
	})

	It("reaches a target attached to another host", func() {
		_, h, _, server := twoHosts(standin.Options{})
		Expect(sendRequest("POST", h.ingressAddress, "/desk/book", "hello").standInBody().Executions).To(Equal(1))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("I10: serves callers while it drains, and sends their next requests elsewhere", func() {
		_, h, _, _ := twoHosts(standin.Options{})
		// closes reports whether the response has Connection: close, so that the caller uses another connection.
		closes := func(path string, status int) bool {
			request, _ := http.NewRequest("GET", "http://"+h.ingressAddress+path, nil)
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
		d := newDeployment()
		d.addTarget("t1", standin.Options{})
		h := d.addHost("h1", "seoul-gangnam", func(o *proxy.Options) { o.Log = decisionlog.New("h1", true) })
		d.setOwner("t1", "h1", 5)
		Expect(sendRequest("GET", h.ingressAddress, "/desk/a", "").status).To(Equal(200))
		d.resolution.HomeRegions = []string{"busan"}
		Expect(sendRequest("GET", h.ingressAddress, "/desk/a", "").status).To(Equal(421))
		klog.Flush()
		Expect(lines.String()).To(ContainSubstring(`target="t1" fence="1.1.5" attempt=2 reason="answered"`))
		Expect(lines.String()).To(MatchRegexp(`keyHash="" .* reason="wrong-region"`))
		Expect(strings.Count(lines.String(), "\n")).To(Equal(2))
		Expect(lines.String()).NotTo(ContainSubstring(key))
	})

	DescribeTable("I5: forwards to another data centre only within the home regions",
		func(from string, home []string, served bool) {
			d, _, _ := oneHost()
			far := d.addHost("h9", from)
			d.resolution.HomeRegions = home
			reply := sendRequest("POST", far.ingressAddress, "/desk/book", "hello", "Almondrock-Deadline-Ms", "300")
			if served {
				Expect(reply.standInBody().Target).To(Equal("t1"))
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
		d := newDeployment()
		d.resolution.Service.Kind = schemav1.ServiceKind_SERVICE_KIND_SHARED
		noFence := &schemav1.TargetCapabilities{}
		servers := map[string]*standin.Server{}
		for _, name := range []string{"t1", "t2", "t3", "t4"} {
			servers[name] = d.addTarget(name, standin.Options{Capabilities: noFence})
		}
		d.targets["t1"].AttachedHost, d.targets["t2"].AttachedHost = "h0", "h1"
		d.targets["t3"].AttachedHost, d.targets["t3"].Lost = "h1", true
		d.targets["t4"].AttachedHost, d.targets["t4"].Announcement.Draining = "h1", true
		chosen := 0
		choose := func(o *proxy.Options) {
			o.ChooseTarget = func(_ string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord {
				Expect(ready).To(HaveLen(2))
				chosen++
				return d.targets[[]string{"t1", "t2"}[chosen%2]]
			}
		}
		h := d.addHost("h0", "seoul-gangnam", choose)
		d.addHost("h1", "seoul-gangnam", choose)
		d.sync()
		names := []string{}
		for range 4 {
			names = append(names, sendRequest("GET", h.ingressAddress, "/desk/a", "").standInBody().Target)
		}
		Expect(names).To(Equal([]string{"t2", "t1", "t2", "t1"}))
		// A request that one target refused before running it may be sent to another.
		servers["t2"].SetFaults(func(f *standin.Faults) { f.Refuse = true })
		Expect(sendRequest("POST", h.ingressAddress, "/desk/a", "b").standInBody().Target).To(Equal("t1"))
		Expect(servers["t2"].Executions()).To(HaveLen(2))
	})
})
