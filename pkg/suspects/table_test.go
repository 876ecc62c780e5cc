package suspects

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Table", func() {
	var t *Table
	a, b, c := Fingerprint{1}, Fingerprint{2}, Fingerprint{3}
	BeforeEach(func() { t = New() })
	verdict := func(now time.Duration, fingerprint Fingerprint) Verdict {
		v, _ := t.Verdict(now, fingerprint)
		return v
	}

	It("blocks a request after two crashes of different targets, and no sooner", func() {
		t.AddCrash(0, a, 1)
		Expect(verdict(0, a)).To(Equal(Suspected))
		t.AddCrash(0, a, 1)
		Expect(verdict(0, a)).To(Equal(Suspected), "the same crash, observed twice")
		added, blocked := t.AddCrash(0, a, 2)
		Expect(added).To(BeTrue())
		Expect(blocked).To(Equal([]Fingerprint{a}))
		Expect(verdict(0, a)).To(Equal(Blocked))
		Expect(verdict(0, b)).To(Equal(Unknown))
	})

	It("adds the crashes that other hosts have observed to its own", func() {
		t.AddCrash(0, a, 1)
		blocked, cleared := t.SetReplicated(0, 1, []Suspect{{a, []uint64{2}}})
		Expect(blocked).To(Equal([]Fingerprint{a}))
		Expect(cleared).To(BeEmpty())
		Expect(verdict(0, a)).To(Equal(Blocked))
		blocked, _ = t.SetReplicated(0, 1, []Suspect{{a, []uint64{2, 1}}})
		Expect(blocked).To(BeEmpty())
		Expect(verdict(0, a)).To(Equal(Blocked))
	})

	It("waits for a third crash where another repeated suspect may be the cause of one of the two", func() {
		t.AddCrash(0, a, 1)
		t.AddCrash(0, b, 1)
		t.AddCrash(0, b, 2)
		Expect(verdict(0, b)).To(Equal(Blocked))
		t.AddCrash(0, a, 3)
		Expect(verdict(0, a)).To(Equal(Suspected))
		Expect(verdict(0, b)).To(Equal(Suspected))
		t.AddCrash(0, b, 4)
		Expect(verdict(0, a)).To(Equal(Suspected))
		Expect(verdict(0, b)).To(Equal(Blocked))
		t.Answered(0, a)
		Expect(verdict(0, b)).To(Equal(Blocked))
	})

	It("blocks one of two suspects that ended at the same target when the other is answered", func() {
		for _, fingerprint := range []Fingerprint{a, b} {
			t.AddCrash(0, fingerprint, 1)
			t.AddCrash(0, fingerprint, 2)
		}
		Expect(verdict(0, a)).To(Equal(Suspected))
		t.Answered(0, a)
		Expect(verdict(0, b)).To(Equal(Blocked))
	})

	It("forgets a suspect that a target has answered", func() {
		t.AddCrash(0, a, 1)
		Expect(t.Answered(time.Second, a)).To(BeTrue())
		Expect(t.Answered(time.Second, a)).To(BeFalse())
		t.AddCrash(time.Second+answerMemory, a, 2)
		Expect(verdict(time.Second+answerMemory, a)).To(Equal(Suspected))
	})

	It("suspects no request that has just been answered, and reports that to the others", func() {
		t.Answered(0, a)
		added, _ := t.AddCrash(answerMemory-1, a, 1)
		Expect(added).To(BeFalse())
		_, cleared := t.SetReplicated(answerMemory-1, 1, []Suspect{{a, []uint64{2, 3}}, {b, []uint64{2}}})
		Expect(cleared).To(Equal([]Fingerprint{a}))
		Expect(verdict(answerMemory-1, a)).To(Equal(Unknown))
		_, cleared = t.SetReplicated(answerMemory-1, 1, []Suspect{{a, []uint64{2, 3}}, {b, []uint64{2}}})
		Expect(cleared).To(BeEmpty(), "it has been reported")
		_, cleared = t.SetReplicated(answerMemory, 1, []Suspect{{a, []uint64{2, 3}}, {b, []uint64{2}}})
		Expect(cleared).To(BeEmpty())
		Expect(verdict(answerMemory, a)).To(Equal(Blocked))
	})

	It("remembers a limited number of answers", func() {
		for i := range 3 * maxAnswers {
			t.Answered(0, FingerprintOf([]byte{byte(i), byte(i >> 8)}))
		}
		Expect(len(t.answers)).To(BeNumerically("<=", maxAnswers))
	})

	It("forgets a suspect that the registry has removed, and its crashes after an answer and a further crash", func() {
		t.SetReplicated(0, 1, []Suspect{{a, []uint64{1, 2}}, {b, []uint64{3}}})
		Expect(verdict(0, a)).To(Equal(Blocked))
		t.SetReplicated(0, 1, []Suspect{{a, []uint64{4}}})
		Expect(verdict(0, a)).To(Equal(Suspected))
		Expect(verdict(0, b)).To(Equal(Unknown))
	})

	It("blocks for a minute after two crashes and for its lifetime after three, and says how long", func() {
		t.AddCrash(0, a, 1)
		t.AddCrash(time.Second, a, 2)
		_, left := t.Verdict(11*time.Second, a)
		Expect(left).To(Equal(clearBlock - 10*time.Second))
		Expect(verdict(clearBlock, a)).To(Equal(Blocked))
		Expect(verdict(clearBlock+time.Second, a)).To(Equal(Suspected))
		t.AddCrash(time.Minute, a, 3)
		_, left = t.Verdict(2*time.Minute, a)
		Expect(left).To(Equal(Lifetime - time.Minute))
		Expect(verdict(Lifetime, a)).To(Equal(Blocked))
		Expect(verdict(Lifetime+time.Minute, a)).To(Equal(Unknown))
	})

	// Guards against a host that refuses a request whose crashes it has reported, and which were cleared before its view had them.
	It("forgets its own crashes once its view has the version with them", func() {
		t.AddCrash(0, a, 1)
		t.AddCrash(0, a, 2)
		t.AddCrash(0, b, 3)
		t.Confirm(a, 1, 7)
		t.Confirm(a, 2, 8)
		t.SetVersion(6)
		Expect(verdict(0, a)).To(Equal(Blocked))
		t.SetReplicated(0, 7, []Suspect{{c, []uint64{4}}})
		Expect(verdict(0, a)).To(Equal(Suspected))
		t.SetVersion(8)
		Expect(verdict(0, a)).To(Equal(Unknown))
		Expect(verdict(0, b)).To(Equal(Suspected), "it is not confirmed")
		t.Confirm(b, 3, 8)
		Expect(verdict(0, b)).To(Equal(Unknown), "the view has that version already")
		Expect(verdict(0, c)).To(Equal(Suspected))
	})

	It("keeps the crashes that the registry has not confirmed for a limited time, and a limited number of them", func() {
		t.AddCrash(0, a, 1)
		t.SetReplicated(0, 1, []Suspect{{b, []uint64{2}}})
		t.Expire(LocalLifetime)
		Expect(verdict(LocalLifetime, a)).To(Equal(Unknown))
		Expect(verdict(LocalLifetime, b)).To(Equal(Suspected))
		for i := range 2 * maxLocal {
			t.AddCrash(0, FingerprintOf([]byte{byte(i), byte(i >> 8)}), 1)
		}
		Expect(t.records).To(HaveLen(maxLocal + 1))
		t.SetReplicated(0, 1, []Suspect{{c, []uint64{1}}})
		Expect(verdict(0, c)).To(Equal(Suspected))
	})
})
