package registry

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("FullViews", func() {
	target := func(i int, life schemav1.Life) *schemav1.Registration {
		return &schemav1.Registration{
			Id: fmt.Sprintf("i-%010d", i), StartedUnixMs: 1, Service: "desk", Address: fmt.Sprintf("10.0.0.1:%d", i), DataCentre: "n", Slots: 2, Life: life,
		}
	}
	newState := func(targets int) *State {
		s := NewState()
		for i := range targets {
			announce(s, target(i, schemav1.Life_LIFE_READY))
		}
		return s
	}

	// Guards against registry hosts without processor time and links that are full of whole views after the loss of all processes (sweep at
	// 300 hosts: 72 entry hosts of each registry host, 3,000 targets).
	It("share one compressed update among all entry hosts that ask for the whole view, and add the changes since", func() {
		s, views := newState(3000), &FullViews{}
		first := views.UpdateSince(s, 0)
		Expect(proto.Size(first)).To(BeNumerically("<", proto.Size(s.UpdateSince(0))/4))
		announce(s, target(7, schemav1.Life_LIFE_DRAINING))
		apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: target(8, 0).GetId()}})
		second := views.UpdateSince(s, 0)
		Expect(&second.GetBase()[0]).To(BeIdenticalTo(&first.GetBase()[0]))
		Expect(second.GetVersion()).To(Equal(s.Version()))
		Expect(second.GetTargets()).To(HaveLen(2))

		base, err := Base(second)
		Expect(err).NotTo(HaveOccurred())
		Expect(base.GetTargets()).To(HaveLen(3000))
		Expect(base.GetFull()).To(BeTrue())
	})

	It("are packed anew after many changes, and are not packed when small", func() {
		s, views := newState(minPackedTargets), &FullViews{}
		first := views.UpdateSince(s, 0)
		for i := range maxBaseChanges + 1 {
			announce(s, target(i, schemav1.Life_LIFE_DRAINING))
		}
		second := views.UpdateSince(s, 0)
		Expect(second.GetBase()).NotTo(Equal(first.GetBase()))
		Expect(second.GetTargets()).To(BeEmpty())
		Expect(views.UpdateSince(newState(minPackedTargets-1), 0).GetBase()).To(BeEmpty())
		Expect(views.UpdateSince(s, s.Version()-1).GetBase()).To(BeEmpty())
	})

	It("cannot be decoded when they are damaged", func() {
		update := (&FullViews{}).UpdateSince(newState(minPackedTargets), 0)
		update.Base = update.Base[:len(update.Base)/2]
		_, err := Base(update)
		Expect(err).To(HaveOccurred())
	})
})
