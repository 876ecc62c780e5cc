package registry

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"almondrock.example/almondrock/pkg/guard"
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

// FuzzApply checks that no command ends a member, and that a restored member stays the same as the others.
func FuzzApply(f *testing.F) {
	commands := []*schemav1.RegistryCommand{
		{Registration: &schemav1.Registration{Id: "t", StartedUnixMs: 1, Address: "a", Service: "s", Life: schemav1.Life_LIFE_READY}},
		{ForgetTarget: &schemav1.Registration{Id: "t"}},
		{Keys: &schemav1.KeyTable{Service: "s", Ranges: []*schemav1.KeyRange{{Last: 65535, Owner: "t"}}}},
		{Range: &schemav1.RangeChange{Service: "s", ExpectedFence: 1}},
		{Range: &schemav1.RangeChange{Service: "s", ExpectedFence: 1, Range: &schemav1.KeyRange{Last: 65535, Owner: "u"}}},
		{Split: &schemav1.RangeSplit{Service: "s", ExpectedFence: 1, Starts: []uint32{7, 5, 1 << 31}}},
		{Routes: &schemav1.RouteDocument{Revision: 3}},
		{Evacuation: &schemav1.EvacuationChange{DataCentre: "d", Out: true}},
		{EntryJoined: &schemav1.EntryHost{}},
		{RegistryHost: &schemav1.RegistryHost{}},
		{ExpectedColdOver: []*schemav1.Registration{nil, {Id: "t"}, {Id: "t", StartedUnixMs: 1}}},
		{EntryLeft: "e"},
		{Suspects: &schemav1.SuspectChange{
			Crashed: []*schemav1.Suspect{{Fingerprint: []byte("f"), Crashes: []uint64{1, 2, 3, 4}}, {}, nil}, Cleared: [][]byte{nil, []byte("g")},
			Expired: []*schemav1.Suspect{nil, {Fingerprint: []byte("f")}},
		}},
		{},
	}
	for _, c := range commands {
		encoded, err := proto.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte("\xff\xff"))
	f.Fuzz(func(t *testing.T, command []byte) {
		panics := 0
		guard.OnPanic(func(string) { panics++ })
		s := NewState()
		for _, c := range append(commands[:3:3], &schemav1.RegistryCommand{}) {
			encoded, err := proto.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(0, encoded)
		}
		s.Apply(0, command)
		s.Apply(0, command)
		if panics > 0 {
			t.Fatal("a command panicked")
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewState()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		again, err := restored.Snapshot()
		if err != nil || !bytes.Equal(snapshot, again) {
			t.Fatal("a restored member differs", err)
		}
	})
}

var _ = Describe("Orders that arrive late", func() {
	evacuate := func(s *State, out bool, expected uint64) *schemav1.RegistryResult {
		return apply(s, &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: "d", Out: out, ExpectedOrder: &expected}})
	}

	// Guards against an evacuation that is withdrawn by an earlier order (EVAC, review/2 and review/3).
	It("do not undo an evacuation that was ordered since they were received, also after a restart from a snapshot", func() {
		s := NewState()
		Expect(evacuate(s, true, 0).GetOvertaken()).To(BeFalse())
		received := s.EvacuationOrder("d")
		Expect(evacuate(s, false, received).GetOvertaken()).To(BeFalse())
		Expect(evacuate(s, true, s.EvacuationOrder("d")).GetOvertaken()).To(BeFalse())
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(snapshot)).To(Succeed())
		for _, s := range []*State{s, restored} {
			Expect(evacuate(s, false, received).GetOvertaken()).To(BeTrue())
			Expect(s.IsEvacuated("d")).To(BeTrue())
		}
	})

	It("do not undo an order that was acknowledged because it repeats what is in force", func() {
		s := NewState()
		evacuate(s, true, 0)
		received := s.EvacuationOrder("d")
		Expect(evacuate(s, true, received).GetOvertaken()).To(BeFalse())
		Expect(evacuate(s, false, received).GetOvertaken()).To(BeTrue())
	})

	It("are acknowledged if they repeat what is in force, and do not concern other data centres", func() {
		s := NewState()
		evacuate(s, true, 0)
		apply(s, &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: "e", Out: true}})
		Expect(evacuate(s, true, 0).GetOvertaken()).To(BeFalse())
		Expect(s.EvacuationOrder("e")).To(BeEquivalentTo(1))
	})

	It("are told with their numbers, so that logs show which one was in force when", func() {
		s := NewState()
		var outcomes []EvacuationOutcome
		s.OnEvacuationOrder(func(o EvacuationOutcome) { outcomes = append(outcomes, o) })
		evacuate(s, true, 0)
		evacuate(s, true, 0)
		evacuate(s, false, 0)
		evacuate(s, false, 2)
		zero, two := uint64(0), uint64(2)
		Expect(outcomes).To(Equal([]EvacuationOutcome{
			{DataCentre: "d", Out: true, Expected: &zero, Number: 1, Version: 1},
			{DataCentre: "d", Out: true, WasOut: true, Expected: &zero, Number: 2, Version: 1},
			{DataCentre: "d", WasOut: true, Expected: &zero, Number: 2, Overtaken: true, Version: 1},
			{DataCentre: "d", WasOut: true, Expected: &two, Number: 3, Version: 2},
		}))
	})

	// Guards against a target that serves on after its removal was acknowledged, because its first announcement arrives after that.
	It("do not register a start of a target that was removed before it was known", func() {
		s := NewState()
		apply(s, &schemav1.RegistryCommand{Registration: registration("t", 5, schemav1.Life_LIFE_READY)})
		apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "t", StartedUnixMs: 6}})
		apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "u", StartedUnixMs: 6}})
		apply(s, &schemav1.RegistryCommand{Registration: registration("t", 6, schemav1.Life_LIFE_READY)})
		apply(s, &schemav1.RegistryCommand{Registration: registration("u", 6, schemav1.Life_LIFE_READY)})
		Expect(s.Targets()).To(BeEmpty())
		apply(s, &schemav1.RegistryCommand{Registration: registration("u", 7, schemav1.Life_LIFE_READY)})
		Expect(s.Targets()).To(HaveLen(1))
	})

	// Guards against an acknowledged removal without effect, of a process that was registered after the removal was received (DRAIN, soak seed 901).
	It("are overtaken if they state no start and a later start has been registered since", func() {
		s := NewState()
		apply(s, &schemav1.RegistryCommand{Registration: registration("t", 5, schemav1.Life_LIFE_READY)})
		apply(s, &schemav1.RegistryCommand{Registration: registration("t", 6, schemav1.Life_LIFE_READY)})
		remove := func(started, removedAt int64) bool {
			return apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{
				Id: "t", StartedUnixMs: started, RemovedUnixMs: removedAt,
			}}).GetOvertaken()
		}
		Expect(remove(5, 1000)).To(BeTrue(), "without a start, when the earlier one was registered")
		Expect(remove(5, 0)).To(BeFalse(), "of the earlier start")
		Expect(s.Targets()).To(HaveLen(1))
		Expect(remove(6, 1000)).To(BeFalse())
		Expect(s.Targets()).To(BeEmpty())
		Expect(remove(6, 1000)).To(BeFalse(), "repeated")
	})

	// Guards against a target that was started again, left by a removal without a start before its first announcement arrived, and gets requests
	// after that (DRAIN, soak seed 103).
	It("do not register for some time a start that a removal without a start may have meant", func() {
		const removedAt = 1_000_000
		s := NewState()
		apply(s, &schemav1.RegistryCommand{Registration: registration("t", removedAt-9000, schemav1.Life_LIFE_READY)})
		apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "t", RemovedUnixMs: removedAt}})
		announce := func(started, proposed int64) int {
			apply(s, &schemav1.RegistryCommand{Registration: registration("t", started, schemav1.Life_LIFE_READY), ProposedUnixMs: proposed})
			return len(s.Targets())
		}
		Expect(announce(removedAt-2000, removedAt-400)).To(BeZero(), "proposed before the removal, applied after it (soak seed 907)")
		Expect(announce(removedAt-2000, removedAt+1500)).To(BeZero(), "a late announcement of the process that was removed")
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Restore(snapshot)).To(Succeed())
		Expect(announce(removedAt-2000, removedAt+2500)).To(BeZero())
		Expect(announce(removedAt-2000, removedAt+lateAnnouncementTime.Milliseconds())).To(Equal(1), "a process that is still there")
		apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "t", RemovedUnixMs: removedAt + 9000}})
		Expect(announce(removedAt+9500, removedAt+9800)).To(Equal(1), "a process that was started after the removal")
		apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: "t", RemovedUnixMs: removedAt + 20000}})
		Expect(announce(removedAt+15000, removedAt-3_600_000)).To(Equal(1), "by a host whose clock was set back")
	})
})

var _ = Describe("End of an evacuation", func() {
	// Guards against cold targets that are flooded after an evacuation, because they cannot announce that they are cold (FAILBACK, review/4).
	It("lets targets count as cold until they announce that they are warm", func() {
		s := NewState()
		for _, id := range []string{"heard", "unheard", "draining", "elsewhere"} {
			target := registration(id, 1, schemav1.Life_LIFE_READY)
			target.Address, target.DataCentre = id, "d"
			if id == "elsewhere" {
				target.DataCentre = "e"
			}
			if id == "draining" {
				target.Life = schemav1.Life_LIFE_DRAINING
			}
			apply(s, &schemav1.RegistryCommand{Registration: target})
		}
		isCold := func(id string) bool {
			target, _ := s.Target(id)
			return target.GetCold()
		}
		evacuate := func(out bool) {
			apply(s, &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: "d", Out: out}})
		}
		evacuate(false)
		evacuate(true)
		Expect(isCold("unheard")).To(BeFalse(), "nothing was put back into service yet")
		before := s.Version()
		evacuate(false)
		Expect(s.UpdateSince(before).GetTargets()).To(HaveLen(2), "the view has the end and the targets in one update")
		warm := registration("heard", 1, schemav1.Life_LIFE_READY)
		warm.Address, warm.DataCentre = "heard", "d"
		known, _ := s.Target("heard")
		Expect(known.GetCold()).To(BeTrue())
		Expect((&AnnouncementOrder{}).NeedsCommit(known, warm, 1)).To(BeTrue())
		apply(s, &schemav1.RegistryCommand{Registration: warm})
		Expect(isCold("heard")).To(BeFalse())
		Expect(isCold("unheard")).To(BeTrue())
		Expect(isCold("draining") || isCold("elsewhere")).To(BeFalse())
	})

	// Guards against a sound target that cannot be heard and gets no requests of other data centres, for good.
	It("lets targets count as warm again when they must have become warm, unless they announced something since", func() {
		s := NewState()
		for _, id := range []string{"unheard", "cold", "restarted"} {
			target := registration(id, 1, schemav1.Life_LIFE_READY)
			target.Address, target.DataCentre = id, "d"
			apply(s, &schemav1.RegistryCommand{Registration: target})
		}
		apply(s, &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: "d", Out: true}})
		apply(s, &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{DataCentre: "d"}})
		for started, id := range []string{"cold", "restarted"} {
			cold := registration(id, int64(started+1), schemav1.Life_LIFE_READY)
			cold.Address, cold.DataCentre, cold.Cold = id, "d", true
			apply(s, &schemav1.RegistryCommand{Registration: cold})
		}
		over := &schemav1.RegistryCommand{}
		for _, id := range []string{"unheard", "cold", "restarted", "unknown"} {
			over.ExpectedColdOver = append(over.ExpectedColdOver, &schemav1.Registration{Id: id, StartedUnixMs: 1})
		}
		Expect(apply(s, over).GetApplied()).To(BeTrue())
		for _, target := range s.Targets() {
			Expect(target.GetCold()).To(Equal(target.GetId() != "unheard"), target.GetId())
		}
		Expect(apply(s, over).GetApplied()).To(BeFalse())
	})
})

var _ = Describe("Updates of views", func() {
	// Guards against updates whose size grows with the deployment: on thin links they delay the answers of callers.
	It("have only the key ranges and entry hosts that changed (sbfa-fitting-large)", func() {
		s := NewState()
		table := &schemav1.KeyTable{Service: "files"}
		for i := range uint32(150) {
			table.Ranges = append(table.Ranges, &schemav1.KeyRange{First: i * 400, Last: i*400 + 399, Owner: fmt.Sprint("i-0123456789", i)})
		}
		apply(s, &schemav1.RegistryCommand{Keys: table})
		for i := range 184 {
			apply(s, &schemav1.RegistryCommand{EntryJoined: &schemav1.EntryHost{Name: fmt.Sprint("e", i), DataCentre: "d", LoadAddress: "10.0.0.1:7000"}})
		}
		before := s.Version()
		moved := proto.Clone(s.Keys("files").GetRanges()[7]).(*schemav1.KeyRange)
		fence := moved.GetFence()
		moved.Owner, moved.Fence = "i-other", 0
		apply(s, &schemav1.RegistryCommand{Range: &schemav1.RangeChange{Service: "files", ExpectedFence: fence, Range: moved}})
		apply(s, &schemav1.RegistryCommand{EntryLeft: "e9"})
		update := s.UpdateSince(before)
		Expect(update.GetKeys()).To(HaveLen(1))
		Expect(update.GetKeys()[0].GetRanges()).To(HaveLen(1))
		Expect(update.GetEntries()).To(HaveLen(1))
		Expect(proto.Size(update)).To(BeNumerically("<", 100))
	})
})

var _ = Describe("State after many ends", func() {
	// Guards against members that forget different ended targets, so that a late announcement registers one again on some of them.
	It("forgets the same ended targets on a restored member", func() {
		end := func(s *State, i int) {
			id := fmt.Sprint("t", i*7919%100003)
			apply(s, &schemav1.RegistryCommand{Registration: &schemav1.Registration{Id: id, StartedUnixMs: 1, Address: id, Life: schemav1.Life_LIFE_READY}})
			apply(s, &schemav1.RegistryCommand{ForgetTarget: &schemav1.Registration{Id: id}})
		}
		s, restored := NewState(), NewState()
		for i := range maxEndedTargets {
			end(s, i)
		}
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(snapshot)).To(Succeed())
		for i := range 20 {
			end(s, maxEndedTargets+i)
			end(restored, maxEndedTargets+i)
		}
		for i := range maxEndedTargets + 20 {
			id := fmt.Sprint("t", i*7919%100003)
			_, known := s.Target(id)
			_, knownByRestored := restored.Target(id)
			Expect(knownByRestored).To(Equal(known), id)
		}
	})
})

var _ = Describe("Registrations", func() {
	It("ignores a delayed ready announcement of a draining target from the same start", func() {
		s := NewState()
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_READY))).To(BeTrue())
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_DRAINING))).To(BeTrue())
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_READY))).To(BeFalse())
		Expect(s.Targets()[0].GetLife()).To(Equal(schemav1.Life_LIFE_DRAINING))
	})

	It("treats a later start with the same id as a new target and ignores announcements of the earlier start", func() {
		s := NewState()
		announce(s, registration("a", 5, schemav1.Life_LIFE_DRAINING))
		Expect(announce(s, registration("a", 6, schemav1.Life_LIFE_READY))).To(BeTrue())
		Expect(announce(s, registration("a", 5, schemav1.Life_LIFE_READY))).To(BeFalse())
	})

	It("ends the older target when a newer one announces the same address, and ignores delayed announcements of older ones", func() {
		s := NewState()
		announce(s, registration("old", 5, schemav1.Life_LIFE_READY))
		Expect(announce(s, registration("new", 9, schemav1.Life_LIFE_READY))).To(BeTrue())
		Expect(s.Targets()).To(HaveLen(1))
		Expect(announce(s, registration("other", 7, schemav1.Life_LIFE_READY))).To(BeFalse())
		Expect(s.Targets()).To(HaveLen(1))
	})

	It("does not end a target when an earlier start of it is removed", func() {
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
	It("rejects an older revision and different content with the same revision", func() {
		s := NewState()
		Expect(apply(s, &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: 3, Body: []byte("a")}}).GetApplied()).To(BeTrue())
		Expect(apply(s, &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: 3, Body: []byte("b")}}).GetApplied()).To(BeFalse())
		Expect(apply(s, &schemav1.RegistryCommand{Routes: &schemav1.RouteDocument{Revision: 2}}).GetApplied()).To(BeFalse())
		Expect(s.Routes().GetBody()).To(Equal([]byte("a")))
	})
})

var _ = Describe("Key ranges", func() {
	It("does not change the version when only a fence is raised, because entry hosts do not use fences", func() {
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

	It("assigns ever higher fences, and rejects a change whose expected fence is outdated", func() {
		s := NewState()
		table := &schemav1.KeyTable{Service: "files", Ranges: []*schemav1.KeyRange{{First: 0, Last: 9, Owner: "a"}, {First: 10, Last: 19, Owner: "b"}}}
		apply(s, &schemav1.RegistryCommand{Keys: table})
		Expect(apply(s, &schemav1.RegistryCommand{Keys: table}).GetApplied()).To(BeFalse(), "the service already has a key table")
		change := &schemav1.RangeChange{Service: "files", ExpectedFence: 1, Range: &schemav1.KeyRange{First: 0, Last: 9, Owner: "b"}}
		Expect(apply(s, &schemav1.RegistryCommand{Range: change}).GetFence()).To(BeEquivalentTo(3))
		Expect(apply(s, &schemav1.RegistryCommand{Range: change}).GetApplied()).To(BeFalse(), "the fence of the range has changed")
		Expect(s.Keys("files").GetRanges()[0].GetFence()).To(BeEquivalentTo(3))
	})
})

// incrementalView is the view of an entry host that applies each update it receives.
type incrementalView struct {
	version uint64
	targets map[string]*schemav1.Registration
	merged  *schemav1.ViewUpdate
	keys    map[string]*schemav1.KeyTable
	// suspects has the suspects by fingerprint.
	suspects map[string]*schemav1.Suspect
}

func (v *incrementalView) update(u *schemav1.ViewUpdate) {
	if u.GetFull() {
		v.targets, v.keys = map[string]*schemav1.Registration{}, map[string]*schemav1.KeyTable{}
	}
	for _, t := range u.GetTargets() {
		if t.GetLife() == schemav1.Life_LIFE_GONE {
			delete(v.targets, t.GetId())
		} else {
			v.targets[t.GetId()] = t
		}
	}
	for _, k := range u.GetKeys() {
		v.keys[k.GetService()] = &schemav1.KeyTable{Service: k.GetService(), Ranges: MergeRanges(v.keys[k.GetService()].GetRanges(), k.GetRanges())}
	}
	if v.merged == nil {
		v.merged = &schemav1.ViewUpdate{}
	}
	if u.GetRoutes() != nil {
		v.merged.Routes = u.GetRoutes()
	}
	if u.GetEvacuatedChanged() {
		v.merged.Evacuated = u.GetEvacuated()
	}
	if u.GetFull() {
		v.merged.Entries = nil
	}
	v.merged.Entries = MergeEntryHosts(v.merged.Entries, u.GetEntries())
	if len(u.GetRegistryHosts()) > 0 {
		v.merged.RegistryHosts = u.GetRegistryHosts()
	}
	v.suspects = MergeSuspects(v.suspects, u)
	v.version = u.GetVersion()
}

func drawCommand(t *rapid.T) *schemav1.RegistryCommand {
	name := func(prefix string) string { return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, 4).Draw(t, prefix)) }
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 9:
		return suspectCommand(name("f"), rapid.Uint64Range(1, 5).Draw(t, "crash"))
	case 10:
		return &schemav1.RegistryCommand{Suspects: &schemav1.SuspectChange{Cleared: [][]byte{[]byte(name("f"))}}}
	case 11:
		return &schemav1.RegistryCommand{Suspects: &schemav1.SuspectChange{Expired: []*schemav1.Suspect{{
			Fingerprint: []byte(name("f")), Crashes: rapid.SliceOfN(rapid.Uint64Range(1, 5), 1, 2).Draw(t, "crashes"),
		}}}}
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
		return &schemav1.RegistryCommand{Evacuation: &schemav1.EvacuationChange{
			DataCentre: name("dc"), Out: rapid.Bool().Draw(t, "out"), ExpectedOrder: proto.Uint64(rapid.Uint64Range(0, 9).Draw(t, "order")),
		}}
	case 3:
		return &schemav1.RegistryCommand{EntryJoined: &schemav1.EntryHost{Name: name("e"), DataCentre: "d", LoadAddress: name("l")}}
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

// withoutFences returns a copy of a key table without fences, which entry hosts do not use.
func withoutFences(table *schemav1.KeyTable) *schemav1.KeyTable {
	stripped := proto.Clone(table).(*schemav1.KeyTable)
	for _, r := range stripped.GetRanges() {
		r.Fence = 0
	}
	return stripped
}

// TestIncrementalViewMatchesFullView guards against a change that is missing from the updates, so that entry hosts never learn of
// it. It also checks that fences never decrease and that a restored state has the same snapshot.
func TestIncrementalViewMatchesFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, incremental := NewState(), &incrementalView{}
		previousFence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			encoded, err := proto.Marshal(drawCommand(t))
			if err != nil {
				t.Fatal(err)
			}
			s.Apply(0, encoded)
			if s.lastFence < previousFence {
				t.Fatalf("last fence decreased from %d to %d", previousFence, s.lastFence)
			}
			previousFence = s.lastFence
			if rapid.Bool().Draw(t, "follow") {
				incremental.update(s.UpdateSince(incremental.version))
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
				restoredSnapshot, _ := restored.Snapshot()
				if string(restoredSnapshot) != string(snapshot) {
					t.Fatal("the snapshot of the restored state differs from the one it was restored from")
				}
				s = restored
			}
		}
		incremental.update(s.UpdateSince(incremental.version))
		full := &incrementalView{}
		full.update(s.UpdateSince(0))
		for id, target := range full.targets {
			if !proto.Equal(incremental.targets[id], target) {
				t.Fatalf("target %s: incremental view %v, full view %v", id, incremental.targets[id], target)
			}
		}
		for service, table := range full.keys {
			incrementalTable := incremental.keys[service]
			if !proto.Equal(withoutFences(incrementalTable), withoutFences(table)) {
				t.Fatalf("key tables of %s differ", service)
			}
			// Raising only a fence creates no update, so a fence in the incremental view may be older than the current one, but never newer.
			for i, r := range table.GetRanges() {
				if incrementalTable.GetRanges()[i].GetFence() > r.GetFence() {
					t.Fatalf("keys of %s: fence %d in the incremental view, %d in the full view", service, incrementalTable.GetRanges()[i].GetFence(), r.GetFence())
				}
			}
		}
		if len(incremental.suspects) != len(full.suspects) {
			t.Fatalf("incremental view has the suspects %v, full view %v", incremental.suspects, full.suspects)
		}
		for fingerprint, suspect := range full.suspects {
			if !proto.Equal(incremental.suspects[fingerprint], suspect) {
				t.Fatalf("suspect %s: incremental view %v, full view %v", fingerprint, incremental.suspects[fingerprint], suspect)
			}
		}
		if len(incremental.targets) != len(full.targets) || !proto.Equal(incremental.merged, full.merged) {
			t.Fatalf("incremental view %v, full view %v", incremental.merged, full.merged)
		}
	})
}

var _ = Describe("Registry hosts", func() {
	apply := func(s *State, host *schemav1.RegistryHost) uint64 {
		GinkgoHelper()
		encoded, err := proto.Marshal(&schemav1.RegistryCommand{RegistryHost: host})
		Expect(err).NotTo(HaveOccurred())
		s.Apply(0, encoded)
		return s.Version()
	}
	host := func(name string) *schemav1.RegistryHost {
		return &schemav1.RegistryHost{Name: name, DataCentre: "n", PeerAddress: name}
	}

	// Guards against entry hosts that ask registry hosts which have left for good (CONFIG, review/6).
	It("are not in views once they have left", func() {
		s := NewState()
		apply(s, host("a"))
		before := apply(s, host("b"))
		Expect(s.RegistryHostsChangedSince(before)).To(BeFalse())
		Expect(apply(s, &schemav1.RegistryHost{Name: "a"})).To(Equal(before + 1))
		Expect(s.RegistryHostsChangedSince(before)).To(BeTrue())
		Expect(s.UpdateSince(before).GetRegistryHosts()).To(HaveExactElements(HaveField("Name", "b")))
		Expect(apply(s, &schemav1.RegistryHost{Name: "a"})).To(Equal(before+1), "a removal that arrives twice")
		Expect(apply(s, host("a"))).To(Equal(before + 2))
		Expect(s.RegistryHosts()).To(HaveLen(2))
	})

	It("that have left are left out of the snapshots of earlier versions, which keep their names", func() {
		snapshot, err := proto.Marshal(&schemav1.RegistryState{Version: 7, RegistryHosts: []*schemav1.RegistryHost{{Name: "a"}, host("b")}})
		Expect(err).NotTo(HaveOccurred())
		s := NewState()
		Expect(s.Restore(snapshot)).To(Succeed())
		Expect(s.RegistryHosts()).To(HaveExactElements(HaveField("Name", "b")))
	})
})
