package registrar

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/replication"
)

var _ = Describe("freshness", func() {
	current := replication.Status{LeaderID: 1, Term: 2, CommitTerm: 2, AppliedIndex: 7, LeaderCommitIndex: 7}
	lagging := replication.Status{LeaderID: 1, Term: 2, CommitTerm: 2, AppliedIndex: 6, LeaderCommitIndex: 7}

	It("does not count a host that lags from its start on as up to date", func() {
		f := &freshness{}
		Expect(f.isUpToDate(time.Millisecond, lagging)).To(BeFalse())
	})

	// Guards against an older configuration that entry hosts take as their first view: after the loss of all machines, a new leader reports the
	// commit index from its own log before it knows what was committed (incident inc-4dbc on sbfa-fitting-large: 47 instead of 50).
	It("does not count a host as up to date before its leader has committed an entry of its own term", func() {
		f := &freshness{}
		elected := current
		elected.Term = 3
		Expect(f.isUpToDate(time.Second, elected)).To(BeFalse())
		elected.CommitTerm, elected.AppliedIndex, elected.LeaderCommitIndex = 3, 9, 9
		Expect(f.isUpToDate(time.Second, elected)).To(BeTrue())
	})

	It("counts a host that begins to lag as up to date for maxLag only, whatever the time of day does (clock_step)", func() {
		f := &freshness{}
		Expect(f.isUpToDate(time.Second, current)).To(BeTrue())
		Expect(f.isUpToDate(time.Second+maxLag-1, lagging)).To(BeTrue())
		Expect(f.isUpToDate(time.Second+maxLag, lagging)).To(BeFalse())
	})

	It("does not count a host without a leader, or with a member that waits for its disk, as up to date (disk_stall, disk_full)", func() {
		f := &freshness{}
		Expect(f.isUpToDate(time.Second, replication.Status{Term: 2, CommitTerm: 2, AppliedIndex: 7, LeaderCommitIndex: 7})).To(BeFalse())
		stalled := current
		stalled.Age = maxStatusAge + 1
		Expect(f.isUpToDate(time.Second, stalled)).To(BeFalse())
	})
})
