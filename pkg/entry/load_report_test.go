package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("reportInterval", func() {
	// Guards against load reports that fill thin links: 23 hosts in a data centre of the large deployment, links of 3 Mbit/s.
	It("keeps the reports to all peers below their share of the link", func() {
		const peers, size, capacity = 22, 100, 3e6 / 8
		interval := reportInterval(peers, size, capacity)
		Expect(float64(peers*(size+datagramOverhead)) / interval.Seconds()).To(BeNumerically("<=", 1.01*reportLinkShare*capacity))
	})

	It("depends only on the number of peers where the link is fast or not known", func() {
		Expect(reportInterval(22, 100, 1e9/8)).To(Equal(22 * reportIntervalPerPeer))
		Expect(reportInterval(22, 100, 0)).To(Equal(22 * reportIntervalPerPeer))
		Expect(reportInterval(2, 100, 1e9/8)).To(Equal(minReportInterval))
	})

	It("stays within the time for which peers use a report", func() {
		Expect(reportInterval(500, 1000, 1e6/8)).To(Equal(max(reportRepeatInterval, 500*reportIntervalPerPeer)))
		Expect(reportInterval(100, 1000, 1e6/8)).To(BeNumerically("<", time.Second))
	})
})
