package control

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// fakeSealer answers for the members that it knows.
type fakeSealer map[string]*schemav1.SealResponse

var errSilent = errors.New("silent")

func (f fakeSealer) Seal(_ context.Context, address string, _ *schemav1.SealRequest) (*schemav1.SealResponse, error) {
	if response, ok := f[address]; ok {
		return response, nil
	}
	return nil, errSilent
}

func members(addresses ...string) []*schemav1.Member {
	var list []*schemav1.Member
	for i, address := range addresses {
		list = append(list, &schemav1.Member{Id: uint64(i) + 1, Address: address})
	}
	return list
}

// hostsOf returns hosts under the identities of members; those in restarted have a new one.
func hostsOf(list []*schemav1.Member, restarted ...string) []*schemav1.Host {
	var hosts []*schemav1.Host
	for _, member := range list {
		host := &schemav1.Host{Name: member.GetAddress(), Identity: member.GetId(), RpcAddress: member.GetAddress()}
		for _, address := range restarted {
			if address == member.GetAddress() {
				// A restarted host may come back at another address.
				host.Identity, host.RpcAddress = host.GetIdentity()+100, address+"-moved"
			}
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// A next generation that starts while the old one can still commit gives a shard two owners (I1) or forgets an
// acknowledged assignment (I2).
var _ = DescribeTable("I1, I2: a next generation starts only when the old one can commit no more",
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
	// The other two may have appended the removal of one sealed voter, and are then a majority of three.
	Entry("two of four sealed", []string{"a", "b", "c", "d"}, []string{"a", "b"}, nil, false),
	Entry("three of four sealed", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, nil, true),
	Entry("two of five sealed", []string{"a", "b", "c", "d", "e"}, []string{"a", "b"}, nil, false),
	Entry("three of five sealed", []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c"}, nil, true),
	Entry("four of five sealed", []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c", "d"}, nil, true),
)

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
