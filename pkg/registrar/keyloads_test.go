package registrar

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Loads of keys", func() {
	It("adds up what entry hosts told, and ignores counts that are missing", func() {
		loads := sum([]*schemav1.KeyLoad{
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

	It("keeps a bounded number while no leader is known", func() {
		l := &keyLoads{}
		for range 2 {
			l.add(make([]*schemav1.KeyLoad, maxLoads))
		}
		Expect(l.take()).To(HaveLen(maxLoads))
		Expect(l.due()).To(BeFalse())
	})
})
