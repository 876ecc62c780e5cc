package dev

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// All processes come back under new identities, and all but the control group's members at other addresses. The control
// group must see that the old voters are gone, or no data centre ever gets a group again.
var _ = Describe("a deployment that starts again from its data folders", func() {
	It("I2, I11: serves all keys under the revision that it had", func() {
		folder := GinkgoT().TempDir()
		client := newClient()
		defer client.CloseIdleConnections()
		for range 2 {
			s, err := startSystem(folder, 3)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() error { return s.unserved(client) }, within, often).Should(Succeed())
			s.Kill()
		}
	})
})
