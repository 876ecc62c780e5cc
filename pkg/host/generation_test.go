package host_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/host"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// Guards against a learner that never serves again: its data centre group has lost its majority, and the learner, which still counts the last
// leader as present, does not poll and so never learns of the next generation.
var _ = It("enters the next generation also as a learner of a group whose leader is gone", func() {
	seeds := ""
	startHost := func(name string) *host.Host {
		GinkgoHelper()
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
		DeferCleanup(started.Kill)
		return started
	}
	ready := func(h *host.Host) string { return h.Ready().String() }
	voters := []*host.Host{startHost("h1"), startHost("h2"), startHost("h3")}
	for _, h := range voters {
		Eventually(ready, "20s", "50ms").WithArguments(h).Should(Equal("ready"))
	}
	learner := startHost("h4")
	Eventually(ready, "20s", "50ms").WithArguments(learner).Should(Equal("ready"))
	// After this time the control group no longer counts the learner's polls from before it had a leader.
	Consistently(ready, "2500ms", "50ms").WithArguments(learner).Should(Equal("ready"))
	for _, h := range voters[1:] {
		h.Kill()
	}
	next := []*host.Host{voters[0], startHost("h2"), startHost("h3"), learner}
	for _, h := range next {
		Eventually(ready, "20s", "50ms").WithArguments(h).Should(Equal("ready"), h.Name())
	}
})
