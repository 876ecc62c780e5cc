package host_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/host"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// Without a leader, a table may be out of date. Explain named a target and an attached host that were gone, with the
// reason of a live assignment.
var _ = It("says that an explanation without a lease may be out of date", func() {
	var hosts []*host.Host
	seeds := ""
	for _, name := range []string{"h1", "h2"} {
		values := settings(tlsconfig.Files{})
		values.Name, values.Insecure = name, true
		listeners, err := host.Listen(values)
		Expect(err).NotTo(HaveOccurred())
		if seeds == "" {
			seeds = name + "=" + listeners.RPC.Addr().String()
		}
		values.Seeds = seeds
		started, err := host.New(host.Options{
			Settings: values, Listeners: listeners, SubmissionCheck: config.CheckSubmission,
			InitialSubmission: &schemav1.Submission{Id: "first", Base: &schemav1.SourceFile{Name: "base.yaml", Content: []byte(baseText)}},
		})
		Expect(err).NotTo(HaveOccurred())
		started.Start()
		hosts = append(hosts, started)
	}
	DeferCleanup(hosts[1].Kill)
	target, err := standin.Start(standin.Options{
		Name: "t1", Service: "desk", DataCentre: "east-1", Hosts: []string{hosts[1].CallerAddress()}, Token: "token-7f3a", Slots: 2, MaxConnections: 10,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(target.Close)
	explain := func() string {
		_, body := getPlain(hosts[1].AdminAddress(), "/v1/explain?service=desk&key=k")
		return strings.ReplaceAll(body, " ", "")
	}
	Eventually(explain, "20s", "50ms").Should(ContainSubstring(`"reason":"thetargetownstheshardandisattachedtothehost"`))
	hosts[0].Kill()
	Eventually(explain, "20s", "50ms").Should(SatisfyAll(ContainSubstring(`"target":"t1"`), ContainSubstring("lastknownowner")))
})
