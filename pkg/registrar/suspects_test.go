package registrar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/suspects"
)

var _ = Describe("Ages of suspects", func() {
	It("expire a suspect after its lifetime without a further crash", func() {
		ages := &suspectAges{}
		a := &schemav1.Suspect{Fingerprint: []byte("a"), Crashes: []uint64{1}}
		b := &schemav1.Suspect{Fingerprint: []byte("b"), Crashes: []uint64{1}}
		Expect(ages.expired(0, []*schemav1.Suspect{a, b})).To(BeEmpty())
		again := &schemav1.Suspect{Fingerprint: []byte("a"), Crashes: []uint64{1, 2}}
		Expect(ages.expired(time.Minute, []*schemav1.Suspect{again, b})).To(BeEmpty())
		Expect(ages.expired(suspects.Lifetime-1, []*schemav1.Suspect{again, b})).To(BeEmpty())
		Expect(ages.expired(suspects.Lifetime, []*schemav1.Suspect{again, b})).To(Equal([]*schemav1.Suspect{b}))
		Expect(ages.expired(suspects.Lifetime+time.Minute, []*schemav1.Suspect{again})).To(Equal([]*schemav1.Suspect{again}))
		Expect(ages.since).To(HaveLen(1))
	})
})
