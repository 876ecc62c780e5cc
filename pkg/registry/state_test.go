package registry

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func apply(s *State, c *schemav1.RegistryCommand) *schemav1.RegistryResult {
	encoded, err := proto.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	result := &schemav1.RegistryResult{}
	Expect(proto.Unmarshal(s.Apply(0, encoded), result)).To(Succeed())
	return result
}

func announce(s *State, t *schemav1.Registration) bool {
	return apply(s, &schemav1.RegistryCommand{Registration: t}).GetApplied()
}

func registration(id string, started int64, life schemav1.Life) *schemav1.Registration {
	return &schemav1.Registration{Id: id, Address: "10.0.0.1:1", StartedUnixMs: started, Service: "desk", Life: life}
}

var _ = Describe("Registrations", func() {
	It("keeps a draining target from coming back by a delayed announcement of the same start", func() {
		s := NewState()
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_READY))).To(BeTrue())
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_DRAINING))).To(BeTrue())
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_READY))).To(BeFalse())
		Expect(s.Targets()[0].GetLife()).To(Equal(schemav1.Life_LIFE_DRAINING))
	})

	It("takes a new start under the same id as a new target", func() {
		s := NewState()
		announce(s, registration("a", 5, schemav1.Life_LIFE_DRAINING))
		Expect(announce(s, registration("a", 6, schemav1.Life_LIFE_READY))).To(BeTrue())
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_READY))).To(BeFalse())
	})

	It("ends the older target at an address, and ignores its late announcements", func() {
		s := NewState()
		announce(s, registration("old", 5, schemav1.Life_LIFE_READY))
		Expect(announce(s, registration("new", 9, schemav1.Life_LIFE_READY))).To(BeTrue())
		Expect(s.Targets()).To(HaveLen(1))
		Expect(announce(s, registration("other", 7, schemav1.Life_LIFE_READY))).To(BeFalse())
		Expect(s.Targets()).To(HaveLen(1))
	})

	It("does not end a later start when an earlier one leaves", func() {
		s := NewState()
		announce(s, registration("a", 6, schemav1.Life_LIFE_READY))
		leave := &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "a", StartedUnixMs: 5}}
		Expect(apply(s, leave).GetApplied()).To(BeFalse())
		leave.ForgetTarget.StartedUnixMs = 0
		Expect(apply(s, leave).GetApplied()).To(BeTrue())
		Expect(s.Targets()).To(BeEmpty())
	})
})

var _ = Describe("Routes", func() {
	It("never goes back to an older revision or to other content of the same one", func() {
		s := NewState()
		Expect(apply(s, &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: 3, Body: []byte("a")}}).GetApplied()).To(BeTrue())
		Expect(apply(s, &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: 3, Body: []byte("b")}}).GetApplied()).To(BeFalse())
		Expect(apply(s, &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: 2}}).GetApplied()).To(BeFalse())
		Expect(s.Routes().GetBody()).To(Equal([]byte("a")))
	})
})

var _ = Describe("Key ranges", func() {
	It("raises a fence alone without a new view, since entry hosts do not use fences", func() {
		s := NewState()
		owner := &schemav1.KeyRange{Last: 65535, Owner: "a", OwnerStartedUnixMs: 1, State: schemav1.RangeState_RANGE_STATE_ACTIVE}
		apply(s, &schemav1.RegistryCommand{Keys: &schemav1.KeyTable{Service: "files", Ranges: []*schemav1.KeyRange{owner}}})
		before, version := s.Keys("files").GetRanges()[0].GetFence(), s.Version()
		result := apply(s, &schemav1.RegistryCommand{Range: &schemav1.RangeChange{Service: "files", ExpectedFence: before, Range: owner}})
		Expect(result.GetApplied()).To(BeTrue())
		Expect(result.GetFence()).To(BeNumerically(">", before))
		Expect(s.Keys("files").GetRanges()[0].GetFence()).To(Equal(result.GetFence()))
		Expect(s.Version()).To(Equal(version))
	})

	It("gives each owner a fence above all earlier ones, and drops decisions that were overtaken", func() {
		s := NewState()
		table := &schemav1.KeyTable{Service: "files", Ranges: []*schemav1.KeyRange{{First: 0, Last: 9, Owner: "a"}, {First: 10, Last: 19, Owner: "b"}}}
		apply(s, &schemav1.RegistryCommand{Keys: table})
		Expect(apply(s, &schemav1.RegistryCommand{Keys: table}).GetApplied()).To(BeFalse(), "a second first table")
		change := &schemav1.RangeChange{Service: "files", ExpectedFence: 1, Range: &schemav1.KeyRange{First: 0, Last: 9, Owner: "b"}}
		Expect(apply(s, &schemav1.RegistryCommand{Range: change}).GetFence()).To(BeEquivalentTo(3))
		Expect(apply(s, &schemav1.RegistryCommand{Range: change}).GetApplied()).To(BeFalse(), "the range has another fence by now")
		Expect(s.Keys("files").GetRanges()[0].GetFence()).To(BeEquivalentTo(3))
	})
})

// follower is a view that is kept by updates.
type follower struct {
	version uint64
	targets map[string]*schemav1.Registration
	state   *schemav1.ViewUpdate
	keys    map[string]*schemav1.KeyTable
}

func (f *follower) take(u *schemav1.ViewUpdate) {
	if u.GetFull() {
		f.targets, f.keys = map[string]*schemav1.Registration{}, map[string]*schemav1.KeyTable{}
	}
	for _, t := range u.GetTargets() {
		if t.GetLife() == schemav1.Life_LIFE_GONE {
			delete(f.targets, t.GetId())
		} else {
			f.targets[t.GetId()] = t
		}
	}
	for _, k := range u.GetKeys() {
		f.keys[k.GetService()] = k
	}
	if f.state == nil {
		f.state = &schemav1.ViewUpdate{}
	}
	if u.GetRoutes() != nil {
		f.state.Routes = u.GetRoutes()
	}
	if u.GetEvacuatedChanged() {
		f.state.Evacuated = u.GetEvacuated()
	}
	if u.GetHostsChanged() {
		f.state.Entries, f.state.RegistryHosts = u.GetEntries(), u.GetRegistryHosts()
	}
	f.version = u.GetVersion()
}

func drawCommand(t *rapid.T) *schemav1.RegistryCommand {
	name := func(prefix string) string { return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 4).Draw(t, prefix)) }
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 8:
		return &schemav1.RegistryCommand{Split: &schemav1.RangeSplit{
			Service: name("s"), ExpectedFence: rapid.Uint64Range(0, 9).Draw(t, "fence"), First: 0,
			Starts: rapid.SliceOfN(rapid.Uint32Range(0, 110), 0, 3).Draw(t, "starts"),
		}}
	case 0:
		return &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: rapid.Uint64Range(1, 9).Draw(t, "revision")}}
	case 1:
		return &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: name("t"), StartedUnixMs: rapid.Int64Range(0, 3).Draw(t, "started")}}
	case 2:
		return &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: name("dc"), Out: rapid.Bool().Draw(t, "out")}}
	case 3:
		return &schemav1.RegistryCommand{EntryJoined: &schemav1.EntryHost{Name: name("e"), LoadAddress: name("l")}}
	case 4:
		return &schemav1.RegistryCommand{EntryLeft: name("e")}
	case 5:
		return &schemav1.RegistryCommand{Keys: &schemav1.KeyTable{Service: name("s"), Ranges: []*schemav1.KeyRange{{First: 0, Last: 99, Owner: name("t")}}}}
	case 6:
		return &schemav1.RegistryCommand{Range: &schemav1.RangeChange{
			Service: name("s"), ExpectedFence: rapid.Uint64Range(0, 9).Draw(t, "fence"), Range: &schemav1.KeyRange{First: 0, Last: 99, Owner: name("t")},
		}}
	default:
		return &schemav1.RegistryCommand{Registration: &schemav1.Registration{
			Id: name("t"), Address: name("a"), StartedUnixMs: rapid.Int64Range(1, 4).Draw(t, "started"),
			Life: schemav1.Life(rapid.IntRange(1, 3).Draw(t, "life")), Cold: rapid.Bool().Draw(t, "cold"),
		}}
	}
}

// withoutFences is what entry hosts use of a table.
func withoutFences(table *schemav1.KeyTable) *schemav1.KeyTable {
	bare := proto.Clone(table).(*schemav1.KeyTable)
	for _, r := range bare.GetRanges() {
		r.Fence = 0
	}
	return bare
}

// TestIncrementalViewMatchesFullView guards against a change that no update carries: an entry host would never learn of it.
func TestIncrementalViewMatchesFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, f := NewState(), &follower{}
		last := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			encoded, err := proto.Marshal(drawCommand(t))
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(0, encoded)
			if s.fence < last {
				t.Fatalf("fence fell from %d to %d", last, s.fence)
			}
			last = s.fence
			if rapid.Bool().Draw(t, "follow") {
				f.take(s.UpdateSince(f.version))
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				snapshot, err := s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored := NewState()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
				again, _ := restored.Snapshot()
				if string(again) != string(snapshot) {
					t.Fatal("a restored state has another snapshot")
				}
				s = restored
			}
		}
		f.take(s.UpdateSince(f.version))
		whole := &follower{}
		whole.take(s.UpdateSince(0))
		for id, target := range whole.targets {
			if !proto.Equal(f.targets[id], target) {
				t.Fatalf("target %s: followed %v, state %v", id, f.targets[id], target)
			}
		}
		for service, table := range whole.keys {
			followed := f.keys[service]
			if !proto.Equal(withoutFences(followed), withoutFences(table)) {
				t.Fatalf("keys of %s differ", service)
			}
			// A fence that was raised alone changes no view, so that a followed fence may be older, but never from the future.
			for i, r := range table.GetRanges() {
				if followed.GetRanges()[i].GetFence() > r.GetFence() {
					t.Fatalf("keys of %s: followed fence %d, state %d", service, followed.GetRanges()[i].GetFence(), r.GetFence())
				}
			}
		}
		if len(f.targets) != len(whole.targets) || !proto.Equal(f.state, whole.state) {
			t.Fatalf("followed %v, state %v", f.state, whole.state)
		}
	})
}
