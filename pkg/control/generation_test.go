package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Guards against ending each generation before its members can have elected a leader: the polls that ended the last one
// are still fresh then.
var _ = Describe("I2: the next generation of a data centre group", func() {
	It("gets the time to elect a leader", func() {
		const dataCentre = "busan-seomyeon"
		state := NewState()
		apply := func(index uint64, command *schemav1.ControlCommand) {
			data, err := proto.Marshal(command)
			Expect(err).NotTo(HaveOccurred())
			state.Apply(index, data)
		}
		host := &schemav1.Host{Name: "h", Identity: 7, DataCentre: dataCentre, RpcAddress: "127.0.0.1:1"}
		apply(1, &schemav1.ControlCommand{Command: &schemav1.ControlCommand_Join{Join: &schemav1.JoinHost{Host: host}}})
		form := func(generation uint64) {
			apply(1+generation, formGroup(&schemav1.GroupAssignment{
				DataCentre: dataCentre, Generation: generation, Voters: SelectVoters([]*schemav1.Host{host}),
			}))
		}
		form(1)
		driver := NewDriver(state, 0)
		poll := func(at time.Duration) {
			driver.RecordPoll(at, &schemav1.PollRequest{Host: "h", Identity: 7, DataCentre: dataCentre})
		}
		leaderless := func(at time.Duration) int {
			poll(at)
			return len(driver.LeaderlessGroups(at))
		}
		Expect(leaderless(10 * time.Second)).To(Equal(0))
		Expect(leaderless(10*time.Second + leaderlessDelay)).To(Equal(1))
		form(2)
		formed := 11*time.Second + leaderlessDelay
		Expect(leaderless(formed)).To(Equal(0))
		Expect(leaderless(formed + leaderlessDelay - time.Millisecond)).To(Equal(0))
		Expect(leaderless(formed + leaderlessDelay)).To(Equal(1))
	})
})
