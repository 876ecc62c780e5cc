package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/control"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// A data centre of two hosts, whose group forms 2 s after the control group has a leader, was given a new generation every
// 250 ms: each one was sealed before its hosts had elected a leader, so that the data centre never served.
var _ = It("gives each generation time to elect before it is taken for leaderless", func() {
	m := newMachine()
	driver := control.NewDriver(m.state, 0)
	for _, name := range []string{"m1", "m2"} {
		m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_Join{Join: &schemav1.JoinHost{
			Host: &schemav1.Host{Name: name, DataCentre: "mapo", Identity: uint64(name[1]), RpcAddress: name},
		}}})
	}
	form := func(generation uint64) {
		m.apply(&schemav1.ControlCommand{Command: &schemav1.ControlCommand_FormGroup{FormGroup: &schemav1.FormGroup{
			Group: &schemav1.GroupAssignment{DataCentre: "mapo", Generation: generation, Voters: control.SelectVoters(m.state.Hosts())},
		}}})
	}
	// leaderless reports whether the group counts as leaderless after polls without a leader.
	leaderless := func(now time.Duration) bool {
		for _, host := range m.state.Hosts() {
			driver.RecordPoll(now, &schemav1.PollRequest{Host: host.GetName(), Identity: host.GetIdentity(), DataCentre: "mapo"})
		}
		return len(driver.LeaderlessGroups(now)) > 0
	}
	for i, formed := range []time.Duration{2 * time.Second, 10 * time.Second} {
		form(uint64(i + 1))
		Expect(leaderless(formed)).To(BeFalse())
		Expect(leaderless(formed + 1400*time.Millisecond)).To(BeFalse())
		Expect(leaderless(formed + 1500*time.Millisecond)).To(BeTrue())
	}
})
