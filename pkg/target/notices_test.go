package target_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/internal/notice"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("notices", func() {
	key := routedKey(7, 1, 5)
	var r *rig
	BeforeEach(func() {
		r = newRig(nil)
		r.sync(shardRecord(7, owned, 5))
	})
	tell := func(told notice.Notice) {
		inFlight := r.begin(key)
		inFlight.RecordNotice(told)
		inFlight.End()
	}
	// reattach ends the attachment and gives the target a new one, after another boot if restart is set.
	reattach := func(restart bool) {
		if restart {
			r.server.Restart()
		}
		r.record = &schemav1.TargetRecord{Announcement: r.server.Announcement(), AttachedHost: "h1", Attachment: r.record.GetAttachment() + 1}
		r.sync(shardRecord(7, owned, 5))
	}
	code := func() apierr.Code {
		err := r.attached().CheckBegin(key)
		if err == nil {
			return ""
		}
		Expect(apierr.From(err).Ran).To(Equal(apierr.NotRun))
		return apierr.From(err).Code
	}

	It("withhold requests for the longest pause that was asked for, also under another attachment", func() {
		first, second := r.begin(key), r.begin(key)
		first.RecordNotice(notice.Notice{Pause: 3 * time.Second})
		second.RecordNotice(notice.Notice{Pause: time.Second})
		Expect(first.CheckOwnership()).NotTo(Succeed(), "requests that are not written yet wait for the end, too")
		r.advance(2 * time.Second)
		Expect(apierr.From(r.attached().CheckNotices()).RetryAfter).To(Equal(time.Second))
		reattach(false)
		Expect(code()).To(Equal(apierr.Overloaded))
		r.advance(time.Second)
		Eventually(code).Should(BeEmpty())
	})

	It("end with the next boot", func() {
		tell(notice.Notice{Pause: time.Minute, Leaving: true})
		Expect(code()).To(Equal(apierr.Overloaded))
		reattach(true)
		Eventually(code).Should(BeEmpty())
		r.advance(time.Minute)
		Expect(code()).To(BeEmpty())
		Expect(r.manager.TakeReports()[0].GetLeaving()).To(BeFalse())
	})

	It("I9: withhold requests from a target that leaves once its drain time is over, and are reported", func() {
		Expect(r.manager.TakeReports()[0].GetLeaving()).To(BeFalse())
		tell(notice.Notice{Leaving: true})
		Expect(r.manager.TakeReports()[0].GetLeaving()).To(BeTrue())
		r.advance(time.Second)
		tell(notice.Notice{Leaving: true})
		r.advance(time.Second)
		Expect(code()).To(Equal(apierr.Draining))
		reattach(false)
		Expect(code()).To(Equal(apierr.Draining))
		Expect(r.manager.TakeReports()[0].GetLeaving()).To(BeTrue())
	})
})
