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

// testSegmentSize in bytes makes a script of a few dozen saves start several segments.
const testSegmentSize = 400

// save is the arguments of one call.
type save struct {
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

// apply is the model: the state after s, written without regard to the files.
func apply(state wal.PersistentState, s save) wal.PersistentState {
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

func equal(a, b wal.PersistentState) bool {
	same := len(a.Entries) == len(b.Entries) && proto.Equal(a.HardState, b.HardState) && proto.Equal(a.Snapshot, b.Snapshot)
	for i := 0; same && i < len(a.Entries); i++ {
		same = proto.Equal(a.Entries[i], b.Entries[i])
	}
	return same
}

func describe(s wal.PersistentState) string {
	first, last := uint64(0), uint64(0)
	if len(s.Entries) > 0 {
		first, last = s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
	}
	return fmt.Sprintf("{%v snapshot %d entries %d-%d}", s.HardState, s.Snapshot.GetIndex(), first, last)
}

// fixedScript has each kind of change: appends, an overwritten suffix, a snapshot of the own state, one together with
// entries, and ones that replace the log,
// of which the last snapshot lies inside the log and contradicts it.
var fixedScript = []save{
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

// randomScript draws saves that a Raft member may make: an overwrite never reaches into a snapshot.
func randomScript(seed uint64) []save {
	random := rand.New(rand.NewPCG(seed, 1))
	var script []save
	state, term := wal.PersistentState{}, uint64(1)
	for range 25 {
		base := state.Snapshot.GetIndex()
		last := base + uint64(len(state.Entries))
		s := save{}
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
		state = apply(state, s)
	}
	return script
}

// run opens fs and saves the script. It returns how many saves were acknowledged.
func run(fs *memFS, script []save) (acknowledged int, err error) {
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

func load(fs wal.FS) (wal.PersistentState, error) {
	log, err := wal.Open("", wal.Options{FS: fs, SegmentSize: testSegmentSize})
	if err != nil {
		return wal.PersistentState{}, err
	}
	defer log.Close()
	return log.Load()
}

// checkCrash crashes a run at one operation and returns an error unless the next boot has everything acknowledged and
// nothing but the interrupted save in addition, still has it after another crash, and can go on with the script.
func checkCrash(script []save, configure func(*memFS), k keep) error {
	fs := newMemFS()
	configure(fs)
	acknowledged, _ := run(fs, script)
	states := []wal.PersistentState{{}}
	for _, s := range script {
		states = append(states, apply(states[len(states)-1], s))
	}
	booted := fs.reboot(k)
	state, err := load(booted)
	if err != nil {
		return fmt.Errorf("open after the crash: %w", err)
	}
	done := acknowledged
	if !equal(state, states[done]) && done < len(script) {
		done++
	}
	if !equal(state, states[done]) {
		return fmt.Errorf("%d saves acknowledged, %s found, want %s", acknowledged, describe(state), describe(states[acknowledged]))
	}
	again := booted.reboot(keeps[0])
	if state, err = load(again); err != nil || !equal(state, states[done]) {
		return fmt.Errorf("second crash: %s found, want %s: %w", describe(state), describe(states[done]), err)
	}
	if _, err := run(again, script[done:]); err != nil {
		return fmt.Errorf("go on after the crash: %w", err)
	}
	if state, err = load(again); err != nil || !equal(state, states[len(script)]) {
		return fmt.Errorf("at the end: %s found, want %s: %w", describe(state), describe(states[len(script)]), err)
	}
	return nil
}

// checkCrashes crashes at every stride-th operation from first on, in every way, and returns the first finding.
func checkCrashes(script []save, configure func(*memFS), first, stride int) (points int, err error) {
	fs := newMemFS()
	configure(fs)
	if _, err := run(fs, script); err != nil {
		return 0, err
	}
	for at := first; at <= fs.ops; at += stride {
		for _, late := range []bool{false, true} {
			for _, k := range keeps {
				points++
				err := checkCrash(script, func(fs *memFS) {
					configure(fs)
					fs.crashAt, fs.crashLate = at, late
				}, k)
				if err != nil {
					return points, fmt.Errorf("crash at operation %d of %d (late: %t) keeps %s: %w", at, fs.ops, late, k.name, err)
				}
			}
		}
	}
	return points, nil
}

var _ = Describe("Crash", func() {
	// Guards against losing an acknowledged save (I2) or inventing one after a loss of power at any operation.
	It("keeps what was acknowledged, at every operation of the fixed script", func() {
		points, err := checkCrashes(fixedScript, func(*memFS) {}, 1, 1)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%d crash points\n", points)
	})

	It("keeps what was acknowledged, at every seventh operation of drawn scripts", func() {
		const stride = 7
		for seed := range uint64(stride) {
			_, err := checkCrashes(randomScript(seed), func(*memFS) {}, 1+int(seed%stride), stride)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
		}
	})

	// Shows that the check finds the faults that it is meant to find.
	DescribeTable("finds a deliberately wrong variant",
		func(configure func(*memFS)) {
			_, err := checkCrashes(fixedScript, configure, 1, 1)
			Expect(err).To(HaveOccurred())
		},
		Entry("files are not synced", func(fs *memFS) { fs.skipSync = true }),
		Entry("the folder is not synced", func(fs *memFS) { fs.skipSyncDir = true }),
	)

	// Guards against trusting the page cache: after a failed sync, a new process reads data that is not on the disk.
	It("does not promise data that a failed sync has lost", func() {
		for failed := 1; ; failed++ {
			fs := newMemFS()
			seen := 0
			fs.fault = func(_ int, kind string) bool {
				if kind == "sync" || kind == "syncdir" {
					seen++
				}
				return seen == failed
			}
			acknowledged, err := run(fs, fixedScript)
			if err == nil {
				Expect(acknowledged).To(Equal(len(fixedScript)))
				break
			}
			restarted := fs.restart()
			promised, err := load(restarted)
			Expect(err).NotTo(HaveOccurred())
			found, err := load(restarted.reboot(keeps[0]))
			Expect(err).NotTo(HaveOccurred())
			Expect(equal(found, promised)).To(BeTrue(), "sync %d: %s promised, %s found", failed, describe(promised), describe(found))
		}
	})
})

var _ = DescribeTable("A failure poisons the log",
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
		operations := fs.ops
		Expect(log.Save(nil, entries(1, 5, 5), nil)).To(BeIdenticalTo(first))
		_, err = log.Load()
		Expect(err).To(BeIdenticalTo(first))
		_, err = log.Identity()
		Expect(err).To(BeIdenticalTo(first))
		Expect(log.Close()).To(BeIdenticalTo(first))
		Expect(fs.ops).To(Equal(operations), "nothing is retried")
		state, err := load(fs.reboot(keeps[0]))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Entries).To(HaveLen(2))
	},
	Entry("failed write", "write", syscall.EIO),
	Entry("short write", "short", io.ErrShortWrite),
	Entry("full disk", "full", syscall.ENOSPC),
	Entry("failed sync", "sync", syscall.EIO),
	Entry("failed sync of the folder", "syncdir", syscall.EIO),
	Entry("failed rename", "rename", syscall.EIO),
	Entry("failed create", "create", syscall.EIO),
)
