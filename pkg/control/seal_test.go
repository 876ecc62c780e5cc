package control

import (
	"context"
	"errors"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// fakeSealer holds the responses of members by address; other members are unreachable.
type fakeSealer map[string]*schemav1.SealResponse

var errUnreachable = errors.New("member is unreachable")

func (f fakeSealer) Seal(_ context.Context, address string, _ *schemav1.SealRequest) (*schemav1.SealResponse, error) {
	if response, ok := f[address]; ok {
		return response, nil
	}
	return nil, errUnreachable
}

func members(addresses ...string) []*schemav1.Member {
	var list []*schemav1.Member
	for i, address := range addresses {
		list = append(list, &schemav1.Member{Id: uint64(i) + 1, Address: address})
	}
	return list
}

// hostsOf returns hosts with the identities of members; those in restarted have a new identity.
func hostsOf(list []*schemav1.Member, restarted ...string) []*schemav1.Host {
	var hosts []*schemav1.Host
	for _, member := range list {
		host := &schemav1.Host{Name: member.GetAddress(), Identity: member.GetId(), RpcAddress: member.GetAddress()}
		for _, address := range restarted {
			if address == member.GetAddress() {
				// A restarted host may have another address.
				host.Identity, host.RpcAddress = host.GetIdentity()+100, address+"-moved"
			}
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// A next generation that starts while the old one can still commit could give a shard two owners (I1) or lose an acknowledged
// assignment (I2).
var _ = DescribeTable("I1, I2: a next generation starts only when the old one can no longer commit",
	func(voters, sealed, restarted []string, starts bool) {
		group := &schemav1.GroupAssignment{DataCentre: "a", Generation: 4, Voters: members(voters...)}
		sealer := fakeSealer{}
		for _, address := range sealed {
			sealer[address] = &schemav1.SealResponse{Sealed: true, LastTerm: 1, LastIndex: 1, Voters: group.GetVoters()}
		}
		hosts := hostsOf(group.GetVoters(), restarted...)
		next := PrepareNextGeneration(context.Background(), sealer, group, hosts, hosts)
		Expect(next != nil).To(Equal(starts))
		if starts {
			Expect(next.GetGeneration()).To(Equal(uint64(5)))
		}
	},
	Entry("one of three sealed", []string{"a", "b", "c"}, []string{"a"}, nil, false),
	Entry("two of three sealed", []string{"a", "b", "c"}, []string{"a", "b"}, nil, true),
	Entry("one sealed, one restarted of three", []string{"a", "b", "c"}, []string{"a"}, []string{"b"}, true),
	Entry("one of two sealed", []string{"a", "b"}, []string{"a"}, nil, true),
	Entry("none of two sealed, one restarted", []string{"a", "b"}, nil, []string{"b"}, true),
	Entry("none sealed", []string{"a", "b"}, nil, nil, false),
	// The other two may have appended the removal of one sealed voter; then they are a majority of three.
	Entry("two of four sealed", []string{"a", "b", "c", "d"}, []string{"a", "b"}, nil, false),
	Entry("three of four sealed", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, nil, true),
	Entry("two of five sealed", []string{"a", "b", "c", "d", "e"}, []string{"a", "b"}, nil, false),
	Entry("three of five sealed", []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c"}, nil, true),
	Entry("four of five sealed", []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c", "d"}, nil, true),
)

// countingSealer counts the members that were sealed.
type countingSealer struct {
	fakeSealer
	sealed atomic.Int64
}

func (c *countingSealer) Seal(ctx context.Context, address string, request *schemav1.SealRequest) (*schemav1.SealResponse, error) {
	if !request.GetOnlyAsk() {
		c.sealed.Add(1)
	}
	return c.fakeSealer.Seal(ctx, address, request)
}

// Guards against a host that serves nothing until it is restarted: it polled once without a leader while the leader of its group did not reach
// the control group, and was sealed although the group went on.
var _ = It("seals no member of a group that goes on without it", func() {
	group := &schemav1.GroupAssignment{DataCentre: "a", Generation: 4, Voters: members("a", "b", "c")}
	sealer := &countingSealer{fakeSealer: fakeSealer{"a": {Sealed: true, LastTerm: 1, LastIndex: 1, Voters: group.GetVoters()}}}
	hosts := hostsOf(group.GetVoters())
	Expect(PrepareNextGeneration(context.Background(), sealer, group, hosts, hosts[:1])).To(BeNil())
	Expect(sealer.sealed.Load()).To(BeZero())
})

var _ = Describe("I2: the next generation", func() {
	It("starts from the most advanced sealed state, by term before index", func() {
		group := &schemav1.GroupAssignment{DataCentre: "a", Generation: 1, Voters: members("a", "b", "c")}
		sealer := fakeSealer{
			"a": {Sealed: true, LastTerm: 2, LastIndex: 90, State: []byte("old"), Voters: group.GetVoters()},
			"b": {Sealed: true, LastTerm: 3, LastIndex: 40, State: []byte("new"), Voters: group.GetVoters()},
		}
		hosts := hostsOf(group.GetVoters())
		Expect(PrepareNextGeneration(context.Background(), sealer, group, hosts, hosts).GetSealedState()).To(Equal([]byte("new")))
	})
})
