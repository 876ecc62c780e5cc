package dev

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// After a restart, all processes have new identities, and all except the members of the control group have new addresses. If
// the control group doesn't detect that the old voters are gone, no data centre ever gets a group again.
var _ = Describe("a deployment that is restarted from its data directories", func() {
	It("I2, I11: serves all keys under the revision that it had", func() {
		dir := GinkgoT().TempDir()
		client := newClient()
		defer client.CloseIdleConnections()
		for range 2 {
			s, err := startSystem(dir, 3)
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() error { return s.checkServed(client) }, eventuallyTimeout, pollInterval).Should(Succeed())
			s.Kill()
		}
	})
})
