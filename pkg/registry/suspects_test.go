package registry

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// suspectCommand returns the command that adds a crash of a suspect.
func suspectCommand(fingerprint string, crash uint64) *schemav1.RegistryCommand {
	return &schemav1.RegistryCommand{Suspects: &schemav1.SuspectChange{
		Crashed: []*schemav1.Suspect{{Fingerprint: []byte(fingerprint), Crashes: []uint64{crash}}},
	}}
}

var _ = Describe("Suspects", func() {
	var s *State
	BeforeEach(func() { s = NewState() })
	crash := func(fingerprint string, crash uint64) bool {
		return apply(s, suspectCommand(fingerprint, crash)).GetApplied()
	}

	It("adds up the different crashes that hosts report, up to a limit", func() {
		Expect(crash("a", 1)).To(BeTrue())
		Expect(crash("a", 1)).To(BeFalse())
		for c := range uint64(2 * maxCrashes) {
			crash("a", c)
		}
		Expect(s.Suspects()).To(HaveLen(1))
		Expect(s.Suspects()[0].GetCrashes()).To(Equal([]uint64{1, 0, 2, 3, 4, 5, 6, 7}))
	})

	It("removes a suspect that a target has answered, and an expired one unless it has had another crash since", func() {
		crash("a", 1)
		crash("b", 1)
		change := func(c *schemav1.SuspectChange) bool {
			return apply(s, &schemav1.RegistryCommand{Suspects: c}).GetApplied()
		}
		Expect(change(&schemav1.SuspectChange{Cleared: [][]byte{[]byte("a")}})).To(BeTrue())
		Expect(change(&schemav1.SuspectChange{Cleared: [][]byte{[]byte("a")}})).To(BeFalse())
		expired := s.Suspects()
		crash("b", 2)
		Expect(change(&schemav1.SuspectChange{Expired: expired})).To(BeFalse())
		Expect(change(&schemav1.SuspectChange{Expired: s.Suspects()})).To(BeTrue())
		Expect(s.Suspects()).To(BeEmpty())
	})

	// Guards against the loss of a data centre that makes the registry forget which requests crash targets.
	It("drops those with a single crash first when there are too many", func() {
		crash("a", 1)
		crash("a", 2)
		for i := range 2 * maxSuspects {
			crash(fmt.Sprint("once", i), 3)
		}
		Expect(s.Suspects()).To(HaveLen(maxSuspects))
		Expect(s.Suspects()[0].GetFingerprint()).To(BeEquivalentTo("a"))
		for i := range 2 * maxSuspects {
			crash(fmt.Sprint("twice", i), 4)
			crash(fmt.Sprint("twice", i), 5)
		}
		Expect(s.Suspects()).To(HaveLen(maxSuspects))
	})

	It("are sent whole to a view that is older than the changes that are kept, without the rest of the view", func() {
		crash("gone", 1)
		version := s.Version()
		view := MergeSuspects(nil, s.UpdateSince(0))
		apply(s, &schemav1.RegistryCommand{Suspects: &schemav1.SuspectChange{Cleared: [][]byte{[]byte("gone")}}})
		for i := range 2 * maxSuspectChanges {
			crash(fmt.Sprint("a", i), 1)
		}
		update := s.UpdateSince(version)
		Expect(update.GetFull()).To(BeFalse())
		Expect(update.GetAllSuspects()).To(BeTrue())
		view = MergeSuspects(view, update)
		Expect(view).To(HaveLen(maxSuspects))
		Expect(view).NotTo(HaveKey("gone"))
	})
})
