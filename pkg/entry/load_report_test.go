package entry

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/dispatch"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
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

var _ = Describe("Load reports of other hosts", func() {
	// Guards against targets that count as busy for good after an entry host was killed.
	It("expire although the load of this host changes all the time, and datagrams that cannot be read are ignored", func() {
		h := startHost()
		applyView(h, 1, nil, startTarget("t", "desk"), startTarget("u", "desk"))
		choose := func(excluded string) *dispatch.Choice {
			choice, _ := h.dispatcher.Choose(h.now(), &dispatch.Request{
				Service: "desk", ExcludedTargets: []string{excluded}, TimeToDeadline: time.Second, TimeToObjective: time.Second,
			})
			return choice
		}
		socket, err := net.Dial("udp", h.options.LoadReportAddress)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		encoded, err := proto.Marshal(&schemav1.LoadReport{Entry: "killed", Start: 1, Sequence: 1, Targets: []uint32{dispatch.TargetHash("t")}, InFlight: []uint32{4}})
		Expect(err).NotTo(HaveOccurred())
		for _, datagram := range [][]byte{[]byte("\xff\xff"), make([]byte, 9000), encoded[:len(encoded)-1], encoded} {
			_, err := socket.Write(datagram)
			Expect(err).NotTo(HaveOccurred())
		}
		usable := func() bool {
			choice := choose("u")
			if choice != nil {
				h.dispatcher.Finish(h.now(), choice, dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			}
			return choice != nil
		}
		Eventually(usable).Should(BeFalse())
		for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			h.dispatcher.Finish(h.now(), choose("t"), dispatch.Result{Outcome: dispatch.OutcomeCancelled})
			h.notifyLoadChanged()
		}
		Expect(usable()).To(BeTrue())
	})
})
