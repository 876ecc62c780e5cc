package registrar

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Key loads", func() {
	It("adds up the loads of entry hosts, and ignores buckets without a count", func() {
		loads := mergeLoads([]*schemav1.KeyLoad{
			{Service: "files", Buckets: []uint32{1, 2}, Counts: []uint32{3, 4}},
			{Service: "files", Buckets: []uint32{2, 9}, Counts: []uint32{5}},
		})
		Expect(loads).To(HaveLen(1))
		counts := map[uint32]uint32{}
		for i, bucket := range loads[0].GetBuckets() {
			counts[bucket] = loads[0].GetCounts()[i]
		}
		Expect(counts).To(Equal(map[uint32]uint32{1: 3, 2: 9}))
	})

	It("keeps a limited number of loads while no leader is known", func() {
		l := &keyLoads{}
		for range 2 {
			l.add(make([]*schemav1.KeyLoad, maxPendingLoads))
		}
		Expect(l.take()).To(HaveLen(maxPendingLoads))
		Expect(l.due()).To(BeFalse())
	})
})
