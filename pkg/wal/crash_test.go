package wal_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// testSegmentSize, in bytes, is so small that a script of a few dozen saves starts several segments.
const testSegmentSize = 400

// saveCall holds the arguments of one call of Save.
type saveCall struct {
	hard     *schemav1.HardState
	entries  []*schemav1.Entry
	snapshot *schemav1.Snapshot
}

func entries(term, first, last uint64) []*schemav1.Entry {
	var result []*schemav1.Entry
	for index := first; index <= last; index++ {
		data := fmt.Appendf(nil, "entry %d of term %d", index, term)
		result = append(result, &schemav1.Entry{Term: term, Index: index, Type: schemav1.EntryType_ENTRY_TYPE_COMMAND, Data: data})
	}
	return result
}

func snapshotAt(index, term uint64) *schemav1.Snapshot {
	return &schemav1.Snapshot{
		Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d of term %d", index, term),
		Membership: &schemav1.Membership{Members: []*schemav1.Member{{Id: 3}}},
	}
}

func hardState(term, commit uint64) *schemav1.HardState {
	return &schemav1.HardState{Term: term, Vote: 3, Commit: commit}
}

// applyToModel returns the expected state after s. It is a model of Log that does not use files.
func applyToModel(state wal.PersistentState, s saveCall) wal.PersistentState {
	if s.hard != nil {
		state.HardState = s.hard
	}
	log := append([]*schemav1.Entry(nil), state.Entries...)
	if s.snapshot != nil {
		var rest []*schemav1.Entry
		matches := false
		for _, entry := range log {
			matches = matches || entry.Index == s.snapshot.Index && entry.Term == s.snapshot.Term
			if matches && entry.Index > s.snapshot.Index {
				rest = append(rest, entry)
			}
		}
		log, state.Snapshot = rest, s.snapshot
	}
	for _, entry := range s.entries {
		for len(log) > 0 && log[len(log)-1].Index >= entry.Index {
			log = log[:len(log)-1]
		}
		log = append(log, entry)
	}
	state.Entries = log
	return state
}

func sameState(a, b wal.PersistentState) bool {
	same := len(a.Entries) == len(b.Entries) && proto.Equal(a.HardState, b.HardState) && proto.Equal(a.Snapshot, b.Snapshot)
	for i := 0; same && i < len(a.Entries); i++ {
		same = proto.Equal(a.Entries[i], b.Entries[i])
	}
	return same
}

func formatState(s wal.PersistentState) string {
	first, last := uint64(0), uint64(0)
	if len(s.Entries) > 0 {
		first, last = s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
	}
	return fmt.Sprintf("{%v snapshot %d entries %d-%d}", s.HardState, s.Snapshot.GetIndex(), first, last)
}

// fixedScript has each type of change: appends, an overwritten suffix, a snapshot of the member's own state, a snapshot
// together with entries, and snapshots that replace the log. The index of the last snapshot is inside the log, but its term
// differs from that of the entry there.
var fixedScript = []saveCall{
	{hard: hardState(1, 0)},
	{entries: entries(1, 1, 3)},
	{hard: hardState(1, 3), entries: entries(1, 4, 9)},
	{hard: hardState(2, 3), entries: entries(2, 6, 7)},
	{entries: entries(2, 8, 12)},
	{snapshot: snapshotAt(5, 1)},
	{entries: entries(2, 13, 30)},
	{hard: hardState(3, 12), entries: entries(3, 15, 16)},
	{snapshot: snapshotAt(12, 2), entries: entries(3, 17, 18)},
	{hard: hardState(4, 40), snapshot: snapshotAt(40, 4)},
	{entries: entries(4, 41, 43)},
	{hard: hardState(5, 50), entries: entries(5, 51, 52), snapshot: snapshotAt(50, 5)},
	{entries: entries(5, 53, 60)},
	{snapshot: snapshotAt(60, 5)},
	{entries: entries(5, 61, 64)},
	{hard: hardState(6, 62), snapshot: snapshotAt(62, 6)},
	{entries: entries(6, 63, 63)},
}

// randomScript returns random saves that a Raft member may make: no entry that a snapshot covers is overwritten.
func randomScript(seed uint64) []saveCall {
	random := rand.New(rand.NewPCG(seed, 1))
	var script []saveCall
	state, term := wal.PersistentState{}, uint64(1)
	for range 25 {
		base := state.Snapshot.GetIndex()
		last := base + uint64(len(state.Entries))
		s := saveCall{}
		if random.IntN(3) == 0 {
			term++
			s.hard = hardState(term, base)
		}
		switch {
		case random.IntN(4) > 0:
			first := last + 1
			if random.IntN(4) == 0 {
				first = base + 1 + random.Uint64N(last-base+1)
			}
			s.entries = entries(term, first, first+random.Uint64N(8))
		case len(state.Entries) > 0:
			entry := state.Entries[random.IntN(len(state.Entries))]
			s.snapshot = snapshotAt(entry.Index, entry.Term)
			if random.IntN(4) == 0 {
				term++
				s.snapshot.Term = term
			}
		default:
			s.snapshot = snapshotAt(last+5, term)
		}
		script = append(script, s)
		state = applyToModel(state, s)
	}
	return script
}

// runScript opens a log on fs and makes the saves of the script. It returns how many of them succeeded.
func runScript(fs *memFS, script []saveCall) (acknowledged int, err error) {
	log, err := wal.Open("", wal.Options{FS: fs, SegmentSize: testSegmentSize})
	if err != nil {
		return 0, err
	}
	defer log.Close()
	for i, s := range script {
		if err := log.Save(s.hard, s.entries, s.snapshot); err != nil {
			return i, err
		}
	}
	return len(script), nil
}

func openAndLoad(fs wal.FS) (wal.PersistentState, error) {
	log, err := wal.Open("", wal.Options{FS: fs, SegmentSize: testSegmentSize})
	if err != nil {
		return wal.PersistentState{}, err
	}
	defer log.Close()
	return log.Load()
}

// checkCrash runs the script until the crash that configure sets, and reboots with the given effect. It returns an error
// unless the log then has all acknowledged saves and at most the interrupted one in addition, has the same state after a
// second crash, and accepts the rest of the script.
func checkCrash(script []saveCall, configure func(*memFS), effect crashEffect) error {
	fs := newMemFS()
	configure(fs)
	acknowledged, _ := runScript(fs, script)
	states := []wal.PersistentState{{}}
	for _, s := range script {
		states = append(states, applyToModel(states[len(states)-1], s))
	}
	booted := fs.reboot(effect)
	state, err := openAndLoad(booted)
	if err != nil {
		return fmt.Errorf("open the log after the crash: %w", err)
	}
	done := acknowledged
	if !sameState(state, states[done]) && done < len(script) {
		done++
	}
	if !sameState(state, states[done]) {
		return fmt.Errorf("%d saves acknowledged, found state %s, want %s", acknowledged, formatState(state), formatState(states[acknowledged]))
	}
	again := booted.reboot(crashEffects[0])
	if state, err = openAndLoad(again); err != nil || !sameState(state, states[done]) {
		return fmt.Errorf("after the second crash: found state %s, want %s: %w", formatState(state), formatState(states[done]), err)
	}
	if _, err := runScript(again, script[done:]); err != nil {
		return fmt.Errorf("continue the script after the crash: %w", err)
	}
	if state, err = openAndLoad(again); err != nil || !sameState(state, states[len(script)]) {
		return fmt.Errorf("at the end of the script: found state %s, want %s: %w", formatState(state), formatState(states[len(script)]), err)
	}
	return nil
}

// checkCrashes calls checkCrash for every stride-th operation from first on, before and after the operation, with every
// crashEffect. It returns the number of calls and the first error.
func checkCrashes(script []saveCall, configure func(*memFS), first, stride int) (points int, err error) {
	fs := newMemFS()
	configure(fs)
	if _, err := runScript(fs, script); err != nil {
		return 0, err
	}
	for at := first; at <= fs.opCount; at += stride {
		for _, late := range []bool{false, true} {
			for _, effect := range crashEffects {
				points++
				err := checkCrash(script, func(fs *memFS) {
					configure(fs)
					fs.crashAtOp, fs.crashAfterEffect = at, late
				}, effect)
				if err != nil {
					return points, fmt.Errorf("crash at operation %d of %d (after its effect: %t), unsynced changes kept: %s: %w", at, fs.opCount, late, effect.name, err)
				}
			}
		}
	}
	return points, nil
}

var _ = Describe("Crash", func() {
	// Guards against a log that, after a power failure at any operation, lacks an acknowledged save (I2) or has one that was
	// never made.
	It("at any operation of the fixed script loses no acknowledged save", func() {
		points, err := checkCrashes(fixedScript, func(*memFS) {}, 1, 1)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%d crash points\n", points)
	})

	It("at every seventh operation of random scripts loses no acknowledged save", func() {
		const stride = 7
		for seed := range uint64(stride) {
			_, err := checkCrashes(randomScript(seed), func(*memFS) {}, 1+int(seed%stride), stride)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
		}
	})

	// Verifies that checkCrashes detects the faults that it is meant to detect.
	DescribeTable("loses data if syncs are skipped, which checkCrashes detects",
		func(configure func(*memFS)) {
			_, err := checkCrashes(fixedScript, configure, 1, 1)
			Expect(err).To(HaveOccurred())
		},
		Entry("files are not synced", func(fs *memFS) { fs.skipSync = true }),
		Entry("the directory is not synced", func(fs *memFS) { fs.skipSyncDir = true }),
	)

	// Guards against relying on the page cache: after a failed sync, a new process still reads data that is not on the disk.
	It("after a restart does not lose loaded data that an earlier sync failed to store", func() {
		for failed := 1; ; failed++ {
			fs := newMemFS()
			seen := 0
			fs.fault = func(_ int, kind string) bool {
				if kind == "sync" || kind == "syncdir" {
					seen++
				}
				return seen == failed
			}
			acknowledged, err := runScript(fs, fixedScript)
			if err == nil {
				Expect(acknowledged).To(Equal(len(fixedScript)))
				break
			}
			restarted := fs.restart()
			promised, err := openAndLoad(restarted)
			Expect(err).NotTo(HaveOccurred())
			found, err := openAndLoad(restarted.reboot(crashEffects[0]))
			Expect(err).NotTo(HaveOccurred())
			Expect(sameState(found, promised)).To(BeTrue(), "sync %d failed: loaded %s after the restart, %s after the crash", failed, formatState(promised), formatState(found))
		}
	})
})

var _ = Describe("A full disk", func() {
	// Guards against a member that ends, or loses or invents a save, because a write was refused and made again later.
	It("leaves the log unchanged at any write, and the same saves succeed once there is room", func() {
		for failed := 1; ; failed++ {
			writes, refusals := 0, 0
			fs := newMemFS()
			log, err := wal.Open("", wal.Options{FS: fs, SegmentSize: testSegmentSize})
			Expect(err).NotTo(HaveOccurred())
			fs.fault = func(_ int, kind string) bool {
				if kind != "full" {
					return false
				}
				writes++
				// Three attempts in a row are refused.
				return writes >= failed && writes < failed+3
			}
			expected := wal.PersistentState{}
			for _, s := range fixedScript {
				for {
					err := log.Save(s.hard, s.entries, s.snapshot)
					if err == nil {
						break
					}
					var noSpace *wal.NoSpaceError
					Expect(errors.As(err, &noSpace)).To(BeTrue(), "%v", err)
					Expect(errors.Is(err, syscall.ENOSPC)).To(BeTrue())
					refusals++
					for _, effect := range crashEffects {
						copied := fs.copy()
						state, err := openAndLoad(copied.reboot(effect))
						Expect(err).NotTo(HaveOccurred(), "write %d, %s", failed, effect.name)
						Expect(sameState(state, expected)).To(BeTrue(), "write %d, %s: %s instead of %s", failed, effect.name, formatState(state), formatState(expected))
					}
				}
				expected = applyToModel(expected, s)
			}
			Expect(log.Close()).To(Succeed())
			for _, effect := range crashEffects {
				state, err := openAndLoad(fs.copy().reboot(effect))
				Expect(err).NotTo(HaveOccurred())
				Expect(sameState(state, expected)).To(BeTrue(), "write %d, %s", failed, effect.name)
			}
			if refusals == 0 {
				Expect(failed).To(BeNumerically(">", len(fixedScript)))
				return
			}
		}
	})
})

var _ = DescribeTable("A failed operation makes the log unusable",
	func(kind string, cause error) {
		fs := newMemFS()
		log, err := wal.Open("", wal.Options{FS: fs, SegmentSize: testSegmentSize})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Save(nil, entries(1, 1, 2), nil)).To(Succeed())
		failing := true
		fs.fault = func(_ int, k string) bool { return failing && k == kind }
		first := log.Save(hardState(1, 1), entries(1, 3, 4), snapshotAt(1, 1))
		var failure *wal.IOError
		Expect(errors.As(first, &failure)).To(BeTrue(), "%v", first)
		Expect(errors.Is(first, cause)).To(BeTrue(), "%v", first)
		failing = false
		operations := fs.opCount
		Expect(log.Save(nil, entries(1, 5, 5), nil)).To(BeIdenticalTo(first))
		_, err = log.Load()
		Expect(err).To(BeIdenticalTo(first))
		_, err = log.Identity()
		Expect(err).To(BeIdenticalTo(first))
		Expect(log.Close()).To(BeIdenticalTo(first))
		Expect(fs.opCount).To(Equal(operations), "no operation may be retried")
		state, err := openAndLoad(fs.reboot(crashEffects[0]))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Entries).To(HaveLen(2))
	},
	Entry("failed write", "write", syscall.EIO),
	Entry("short write", "short", io.ErrShortWrite),
	Entry("failed sync", "sync", syscall.EIO),
	Entry("failed sync of the directory", "syncdir", syscall.EIO),
	Entry("failed rename", "rename", syscall.EIO),
	Entry("failed create", "create", syscall.EIO),
)
