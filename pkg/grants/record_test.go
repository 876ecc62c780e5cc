package grants

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("grantRecord", func() {
	const at = time.Minute
	granted := func() grantRecord {
		r := grantRecord{}
		r.assigned(5, at)
		Expect(r.beginGrant()).To(BeFalse())
		r.grantConfirmed(at)
		return r
	}

	It("lets a range move at once after a release, and only after the expiry of a later grant", func() {
		r := granted()
		Expect(r.isExpired(at)).To(BeFalse())
		r.ownerReleased(at, "h")
		Expect(r.isExpired(at)).To(BeTrue())
		Expect(r.beginGrant()).To(BeTrue())
		r.grantConfirmed(at)
		Expect(r.isExpired(at)).To(BeFalse())
		Expect(r.canRelease()).To(BeTrue())
		Expect(r.isExpired(at + maxGrantAge)).To(BeTrue())
	})

	It("asks for a release again once a grant call has begun after the last one, because the call may take effect without a response", func() {
		r := granted()
		r.ownerReleased(at, "h")
		Expect(r.canRelease()).To(BeFalse())
		r.beginGrant()
		Expect(r.canRelease()).To(BeTrue())
	})

	It("waits after a release for a call without a response", func() {
		r := granted()
		r.beginGrant()
		r.grantUnconfirmed(at + time.Second)
		r.ownerReleased(at+2*time.Second, "h")
		Expect(r.isExpired(at + maxGrantAge)).To(BeFalse())
		Expect(r.isExpired(at + time.Second + maxGrantAge)).To(BeTrue())
	})

	It("does not release under a fence that no call has carried, and keeps the older grant in force", func() {
		r := granted()
		r.fenceRaised(9)
		Expect(r.canRelease()).To(BeFalse())
		Expect(r.isExpired(at)).To(BeFalse())
		Expect(r.beginGrant()).To(BeFalse())
	})

	It("gives the next owner the handover only if the last one has not worked on the keys since its release", func() {
		r := granted()
		r.ownerReleased(at, "h")
		r.assigned(6, at)
		Expect(r.handover).To(Equal("h"))
		r = granted()
		r.ownerReleased(at, "h")
		r.beginGrant()
		r.grantUnconfirmed(at)
		r.assigned(6, at+maxGrantAge)
		Expect(r.handover).To(BeEmpty())
	})

	It("keeps for all parts of a split range what is known of its grant", func() {
		h := newHarness(owners(1))
		whole := granted()
		whole.fenceRaised(9)
		h.manager.addSplitRecords("files", &whole, []uint32{100})
		part := h.manager.records[rangeID{"files", 100}]
		Expect(part.canRelease()).To(BeFalse(), "the owner does not hold the part under the new fence")
		Expect(part.expiresAt).To(Equal(whole.expiresAt))
	})

	It("makes a call due at once that became necessary during another one", func() {
		s := callSchedule{callInProgress: true}
		s.makeDue(at)
		s.ended(at+time.Second, time.Minute)
		Expect(s.nextCallAt).To(Equal(at + time.Second))
		s = callSchedule{callInProgress: true}
		s.ended(at, time.Minute)
		Expect(s.nextCallAt).To(Equal(at + time.Minute))
	})
})
