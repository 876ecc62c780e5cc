package registrar

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Registry host", func() {
	It("is not up to date before it has joined the group", func() {
		r, err := New(context.Background(), Options{Name: "r", PeerAddress: "127.0.0.1:1", DataDir: GinkgoT().TempDir()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.Stop)
		Expect(r.stateAge()).To(Equal(replication.UnknownAge))
		Expect(r.isUpToDate()).To(BeFalse())
		update, err := r.handleWatch(context.Background(), &schemav1.ViewHello{Version: 1, Entry: &schemav1.EntryHost{Name: "e"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(update.CompleteUntilUs).To(BeNil())
	})

	// Guards against entry hosts that take the time of the response, or of the call, for the age of the view.
	It("tells entry hosts up to which time the view is complete, for calls that wait for a change", func() {
		hosts := startGroup(&partition{})
		for _, r := range hosts {
			Eventually(says, "10s").WithArguments(r).Should(BeTrue())
			began := time.Now()
			update, err := r.handleWatch(context.Background(), &schemav1.ViewHello{Version: r.state.Version(), Entry: &schemav1.EntryHost{Name: "e"}})
			took := time.Since(began)
			Expect(err).NotTo(HaveOccurred())
			Expect(update.CompleteUntilUs).NotTo(BeNil())
			completeUntil := time.Duration(update.GetCompleteUntilUs()) * time.Microsecond
			Expect(completeUntil).To(BeNumerically("<=", took))
			Expect(completeUntil).To(BeNumerically(">=", -maxStateAge))
		}
	})
})
