package control_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/control"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// machine applies commands to a state with increasing log indexes.
type machine struct {
	state *control.State
	index uint64
}

func newMachine() *machine { return &machine{state: control.NewState()} }

func (m *machine) apply(command *schemav1.ControlCommand) *schemav1.ControlResult {
	data, err := proto.Marshal(command)
	Expect(err).NotTo(HaveOccurred())
	m.index++
	var result schemav1.ControlResult
	Expect(proto.Unmarshal(m.state.Apply(m.index, data), &result)).To(Succeed())
	return &result
}

func (m *machine) submit(id string, basedOn uint64, configuration *schemav1.Configuration, unixMs int64) *schemav1.SubmissionOutcome {
	return m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_Submit{Submit: &schemav1.CommitSubmission{
		Submission:    &schemav1.Submission{Id: id, BasedOn: basedOn, Operator: "operator of " + id, SubmittedUnixMs: unixMs},
		Configuration: configuration,
	}}}).GetOutcome()
}

func (m *machine) redelegate(from, to string, epoch uint64, first, count uint32) bool {
	return m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_Redelegate{Redelegate: &schemav1.Redelegate{
		DataCentre: from, NextDataCentre: to,
		Ranges: []*schemav1.ShardRange{{Keyspace: "desk/*", FirstShard: first, Count: count, Epoch: epoch}},
	}}}).GetApplied()
}

func (m *machine) release(dataCentre string, epoch uint64, first, count uint32) bool {
	return m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_Release{Release: &schemav1.ReleaseDelegations{
		DataCentre: dataCentre,
		Ranges:     []*schemav1.ShardRange{{Keyspace: "desk/*", FirstShard: first, Count: count, Epoch: epoch}},
	}}}).GetApplied()
}

// movedShard is the shard that the cases move.
const movedShard = 3

func (m *machine) delegation() *schemav1.DelegationRun {
	for _, delegation := range m.state.View().GetDelegations() {
		if run, ok := control.FindRun(delegation, movedShard); ok {
			return run
		}
	}
	return nil
}

func desk(shards uint32, lost ...string) *schemav1.Configuration {
	configuration := &schemav1.Configuration{
		Regions:     []*schemav1.Region{{Name: "r1"}},
		DataCentres: []*schemav1.DataCentre{{Name: "a", Region: "r1"}, {Name: "b", Region: "r1"}},
		Services: []*schemav1.Service{{
			Name: "desk", Kind: schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE, Shards: shards,
			Routes: []*schemav1.Route{{PathPrefix: "/", Class: schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE}},
		}},
	}
	for _, dataCentre := range configuration.GetDataCentres() {
		for _, name := range lost {
			dataCentre.Lost = dataCentre.Lost || dataCentre.GetName() == name
		}
	}
	return configuration
}

const (
	accepted = schemav1.SubmissionOutcome_VERDICT_ACCEPTED
	conflict = schemav1.SubmissionOutcome_VERDICT_CONFLICT
	refused  = schemav1.SubmissionOutcome_VERDICT_REFUSED
)

var _ = Describe("I11: submissions", func() {
	It("lets exactly one of two submissions under equal revision numbers win and names the winner to the other", func() {
		m := newMachine()
		Expect(m.submit("one", 0, desk(8), 0).GetVerdict()).To(Equal(accepted))
		outcome := m.submit("two", 0, desk(8), 0)
		Expect(outcome.GetVerdict()).To(Equal(conflict))
		Expect(outcome.GetWinnerId()).To(Equal("one"))
		Expect(outcome.GetWinnerOperator()).To(Equal("operator of one"))
		Expect(m.state.Configuration().GetRevision()).To(Equal(uint64(1)))
	})

	It("gives a resend its first answer and does not apply it again", func() {
		m := newMachine()
		first := m.submit("one", 0, desk(8), 0)
		m.submit("two", 1, desk(8), 0)
		Expect(proto.Equal(m.submit("one", 0, desk(8), 0), first)).To(BeTrue())
		Expect(m.state.Configuration().GetRevision()).To(Equal(uint64(2)))
	})

	It("keeps first answers over a snapshot, so that a resend after a restart is not run again", func() {
		m := newMachine()
		first := m.submit("one", 0, desk(8), 0)
		data, err := m.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := &machine{state: control.NewState(), index: m.index}
		Expect(restored.state.Restore(data)).To(Succeed())
		Expect(proto.Equal(restored.submit("one", 0, desk(8), 0), first)).To(BeTrue())
		again, err := restored.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data))
	})

	It("refuses a snapshot of a newer format instead of guessing", func() {
		data, err := proto.Marshal(&schemav1.ControlSnapshot{Format: 99})
		Expect(err).NotTo(HaveOccurred())
		var formatError *control.SnapshotFormatError
		Expect(control.NewState().Restore(data)).To(BeAssignableToTypeOf(formatError))
	})

	// A changed shard count maps a key to another shard, whose owner may differ from the old one's (I1).
	It("refuses another shard count for a keyspace that was delegated", func() {
		m := newMachine()
		m.submit("one", 0, desk(8), 0)
		Expect(m.redelegate("", "a", 0, 0, 8)).To(BeTrue())
		outcome := m.submit("two", 1, desk(16), 0)
		Expect(outcome.GetVerdict()).To(Equal(refused))
		Expect(outcome.GetProblems()[0].GetRule()).To(Equal("shards-changed"))
	})

	DescribeTable("I1, I5: a removed tenant returns with other home regions only after 60 s",
		func(returnAfterMs int64, regions []string, verdict schemav1.SubmissionOutcome_Verdict) {
			with := func(regions ...string) *schemav1.Configuration {
				configuration := desk(8)
				configuration.Tenants = []*schemav1.Tenant{{Name: "t", HomeRegions: regions}}
				return configuration
			}
			m := newMachine()
			m.submit("add", 0, with("r1"), 0)
			m.submit("remove", 1, desk(8), 1000)
			Expect(m.submit("return", 2, with(regions...), 1000+returnAfterMs).GetVerdict()).To(Equal(verdict))
		},
		Entry("too soon", int64(59_000), []string{"r2"}, refused),
		Entry("same regions", int64(1), []string{"r1"}, accepted),
		Entry("late enough", int64(60_001), []string{"r2"}, accepted),
	)
})

var _ = Describe("I1: delegation", func() {
	var m *machine

	BeforeEach(func() {
		m = newMachine()
		m.submit("one", 0, desk(8), 0)
		Expect(m.redelegate("", "a", 0, 0, 8)).To(BeTrue())
	})

	It("moves a shard only after the old data centre has released it", func() {
		epoch := m.delegation().GetEpoch()
		Expect(m.redelegate("a", "b", epoch, movedShard, 1)).To(BeTrue())
		Expect(m.delegation().GetDataCentre()).To(Equal("a"))
		Expect(m.delegation().GetNextDataCentre()).To(Equal("b"))
		Expect(m.release("a", epoch, movedShard, 1)).To(BeTrue())
		Expect(m.delegation().GetDataCentre()).To(Equal("b"))
		Expect(m.delegation().GetEpoch()).To(BeNumerically(">", epoch))
	})

	DescribeTable("ignores releases and plans that arrive late or from elsewhere",
		func(act func(epoch uint64) bool) {
			epoch := m.delegation().GetEpoch()
			Expect(act(epoch)).To(BeFalse())
			Expect(m.delegation().GetDataCentre()).To(Equal("a"))
			Expect(m.delegation().GetNextDataCentre()).To(BeEmpty())
		},
		Entry("release without a move", func(epoch uint64) bool { return m.release("a", epoch, movedShard, 1) }),
		Entry("release by another data centre", func(epoch uint64) bool { return m.release("b", epoch, movedShard, 1) }),
		Entry("plan made for an older epoch", func(epoch uint64) bool { return m.redelegate("a", "b", epoch-1, movedShard, 1) }),
		Entry("second first assignment", func(uint64) bool { return m.redelegate("", "b", 0, movedShard, 1) }),
	)

	It("hands shards of a data centre over at once only when the files declare it lost", func() {
		m.submit("lost", 1, desk(8, "a"), 0)
		Expect(m.redelegate("a", "b", m.delegation().GetEpoch(), movedShard, 1)).To(BeTrue())
		Expect(m.delegation().GetDataCentre()).To(Equal("b"))
	})
})

var _ = Describe("hosts and generations", func() {
	join := func(m *machine, identity uint64, started int64) bool {
		return m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_Join{Join: &schemav1.JoinHost{
			Host: &schemav1.Host{Name: "h", Identity: identity, StartedUnixMs: started},
		}}}).GetApplied()
	}

	It("ignores a join of an earlier start that arrives late", func() {
		m := newMachine()
		Expect(join(m, 2, 200)).To(BeTrue())
		Expect(join(m, 1, 100)).To(BeFalse())
		host, _ := m.state.Host("h")
		Expect(host.GetIdentity()).To(Equal(uint64(2)))
	})

	It("takes generations in order, exactly once", func() {
		m := newMachine()
		form := func(generation uint64) bool {
			return m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_FormGroup{FormGroup: &schemav1.FormGroup{
				Group: &schemav1.GroupAssignment{DataCentre: "a", Generation: generation, Voters: []*schemav1.Member{{Id: 1}}},
			}}}).GetApplied()
		}
		Expect([]bool{form(2), form(1), form(1), form(2)}).To(Equal([]bool{false, true, false, true}))
	})
})
