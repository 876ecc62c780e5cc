package wal_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}

func open(path string) *wal.Log {
	log, err := wal.Open(path, wal.Options{SegmentSize: testSegmentSize})
	Expect(err).NotTo(HaveOccurred())
	return log
}

var _ = Describe("Log on the operating system's files", func() {
	// Guards against differences between the folder in memory and real files.
	It("returns after each save what the model says, also after reopening", func() {
		path := filepath.Join(GinkgoT().TempDir(), "data")
		log := open(path)
		want := wal.PersistentState{}
		for i, s := range fixedScript {
			Expect(log.Save(s.hard, s.entries, s.snapshot)).To(Succeed())
			want = apply(want, s)
			state, err := log.Load()
			Expect(err).NotTo(HaveOccurred())
			Expect(equal(state, want)).To(BeTrue(), "save %d: %s, want %s", i, describe(state), describe(want))
			Expect(log.Close()).To(Succeed())
			log = open(path)
		}
		Expect(log.Close()).To(Succeed())
		// Only the files of the last snapshot are left.
		files, err := os.ReadDir(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically("<=", 5), "%v", files)
	})

	It("refuses a second process and lets it in after Close", func() {
		path := GinkgoT().TempDir()
		log := open(path)
		_, err := wal.Open(path, wal.Options{})
		Expect(errors.As(err, new(*wal.LockedError))).To(BeTrue(), "%v", err)
		Expect(log.Close()).To(Succeed())
		Expect(open(path).Close()).To(Succeed())
		Expect(errors.As(log.Save(hardState(1, 1), nil, nil), new(*wal.ClosedError))).To(BeTrue())
	})

	It("reports a folder that can't be created", func() {
		_, err := wal.Open("/dev/null/data", wal.Options{})
		Expect(errors.As(err, new(*wal.IOError))).To(BeTrue(), "%v", err)
	})
})

var _ = Describe("Identity", func() {
	// Guards against a member that votes under two identities after a crash.
	It("stays the same once it was returned, whatever a crash leaves", func() {
		for _, k := range keeps {
			fs := newMemFS()
			log, err := wal.Open("", wal.Options{FS: fs})
			Expect(err).NotTo(HaveOccurred())
			first, err := log.Identity()
			Expect(err).NotTo(HaveOccurred())
			Expect(first).NotTo(BeZero())
			log, err = wal.Open("", wal.Options{FS: fs.reboot(k)})
			Expect(err).NotTo(HaveOccurred())
			Expect(log.Identity()).To(Equal(first))
		}
	})

	It("is refused when it is damaged", func() {
		fs := newMemFS()
		log, err := wal.Open("", wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Identity()).NotTo(BeZero())
		fs.files["IDENTITY"].data[3] ^= 1
		_, err = log.Identity()
		Expect(errors.As(err, new(*wal.CorruptError))).To(BeTrue(), "%v", err)
	})
})

// Each refused call must leave the log as it was.
var _ = DescribeTable("Save refuses arguments that do not follow on the log",
	func(s save) {
		fs, states := written(fixedScript[:7])
		log, err := wal.Open("", wal.Options{FS: fs})
		Expect(err).NotTo(HaveOccurred())
		Expect(errors.As(log.Save(s.hard, s.entries, s.snapshot), new(*wal.SequenceError))).To(BeTrue())
		state, err := log.Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(equal(state, states[7])).To(BeTrue())
		Expect(log.Save(nil, entries(2, 31, 31), nil)).To(Succeed())
	},
	Entry("gap after the log", save{entries: entries(2, 32, 33)}),
	Entry("gap inside the entries", save{entries: append(entries(2, 31, 31), entries(2, 33, 33)...)}),
	Entry("entry without an index", save{entries: []*schemav1.Entry{{Term: 2}}}),
	Entry("gap after the snapshot", save{snapshot: snapshotAt(90, 3), entries: entries(3, 92, 92)}),
	Entry("older snapshot", save{hard: hardState(9, 9), snapshot: snapshotAt(4, 1)}),
	Entry("same snapshot of another term", save{snapshot: snapshotAt(5, 2)}),
	Entry("empty snapshot", save{snapshot: &schemav1.Snapshot{}}),
)

// noSync hides the cost of syncs, for comparison only.
type noSync struct{ wal.FS }

type noSyncFile struct{ wal.File }

func (noSyncFile) Sync() error { return nil }

func (n noSync) Create(name string) (wal.File, error) {
	file, err := n.FS.Create(name)
	return noSyncFile{file}, err
}

func (noSync) SyncDir() error { return nil }

func benchmarkLog(b *testing.B, wrap func(wal.FS) wal.FS) (*wal.Log, string) {
	path := b.TempDir()
	fs, err := wal.NewDirFS(path)
	if err != nil {
		b.Fatal(err)
	}
	log, err := wal.Open(path, wal.Options{FS: wrap(fs)})
	if err != nil {
		b.Fatal(err)
	}
	return log, path
}

func command(index uint64) *schemav1.Entry {
	return &schemav1.Entry{Term: 1, Index: index, Type: schemav1.EntryType_ENTRY_TYPE_COMMAND, Data: make([]byte, 256)}
}

// BenchmarkSave measures saves of 1 and of 64 entries of 256 bytes.
func BenchmarkSave(b *testing.B) {
	variants := map[string]func(wal.FS) wal.FS{
		"sync":   func(fs wal.FS) wal.FS { return fs },
		"nosync": func(fs wal.FS) wal.FS { return noSync{fs} },
	}
	for _, variant := range []string{"sync", "nosync"} {
		for _, count := range []uint64{1, 64} {
			b.Run(fmt.Sprintf("%s/%d", variant, count), func(b *testing.B) {
				log, _ := benchmarkLog(b, variants[variant])
				defer log.Close()
				b.ReportAllocs()
				index := uint64(0)
				for b.Loop() {
					var batch []*schemav1.Entry
					for range count {
						index++
						batch = append(batch, command(index))
					}
					if err := log.Save(nil, batch, nil); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "entries/s")
			})
		}
	}
}

// BenchmarkOpen measures opening and loading a log, and the heap that its entries take.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []uint64{1_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			log, path := benchmarkLog(b, func(fs wal.FS) wal.FS { return noSync{fs} })
			for index := uint64(1); index <= count; index++ {
				if err := log.Save(nil, []*schemav1.Entry{command(index)}, nil); err != nil {
					b.Fatal(err)
				}
			}
			if err := log.Close(); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var state wal.PersistentState
			for b.Loop() {
				log, err := wal.Open(path, wal.Options{})
				if err != nil {
					b.Fatal(err)
				}
				if state, err = log.Load(); err != nil {
					b.Fatal(err)
				}
				log.Close()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MiB")
			runtime.KeepAlive(state)
		})
	}
}
