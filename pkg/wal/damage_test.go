package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/wal"
)

// directoryAfter returns the directory after a process has made the saves of a script, and the state after each save.
func directoryAfter(script []saveCall) (*memFS, []wal.PersistentState) {
	fs := newMemFS()
	if acknowledged, err := runScript(fs, script); err != nil {
		panic(fmt.Sprintf("save %d: %v", acknowledged, err))
	}
	states := []wal.PersistentState{{}}
	for _, s := range script {
		states = append(states, applyToModel(states[len(states)-1], s))
	}
	return fs.reboot(crashEffects[1]), states
}

func filesWithPrefix(fs *memFS, prefix string) []string {
	var names []string
	for name := range fs.files {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func lastSegment(fs *memFS) *inode {
	names := filesWithPrefix(fs, "wal-")
	return fs.files[names[len(names)-1]]
}

// shortScript is so short that all its saves are in one segment.
var shortScript = []saveCall{
	{hard: hardState(1, 0)}, {entries: entries(1, 1, 1)}, {entries: entries(1, 2, 2)}, {entries: entries(1, 3, 4)},
}

var _ = Describe("Opening a damaged directory", func() {
	// Guards against refusing to open the log after a torn write, and against applying a part of the torn batch.
	It("drops only the last save if that is truncated, at any length", func() {
		all, states := directoryAfter(shortScript)
		before, _ := directoryAfter(shortScript[:3])
		start := len(lastSegment(before).data)
		for size := start; size < len(lastSegment(all).data); size++ {
			fs, _ := directoryAfter(shortScript)
			lastSegment(fs).data = lastSegment(fs).data[:size]
			state, err := openAndLoad(fs)
			Expect(err).NotTo(HaveOccurred(), "cut at %d", size)
			Expect(sameState(state, states[3])).To(BeTrue(), "cut at %d: %s", size, formatState(state))
		}
	})

	// Guards against silent data loss: damage before the last save can't be a torn write.
	It("reports file and offset of damage in any byte before the last save", func() {
		before, _ := directoryAfter(shortScript[:3])
		end := len(lastSegment(before).data)
		for at := range end {
			fs, _ := directoryAfter(shortScript)
			lastSegment(fs).data[at] ^= 0x10
			_, err := openAndLoad(fs)
			var corrupt *wal.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d: %v", at, err)
			Expect(corrupt.File).To(HavePrefix("wal-"))
			Expect(corrupt.Offset).To(BeNumerically("<=", at))
		}
	})

	// Guards against treating damage as a torn write in bytes that were synced when the log was last opened.
	It("reports damage in any byte that was present when the log was last opened", func() {
		fs, _ := directoryAfter(shortScript)
		_, err := openAndLoad(fs)
		Expect(err).NotTo(HaveOccurred())
		clean := bytes.Clone(lastSegment(fs).data)
		for at := range clean {
			lastSegment(fs).data = bytes.Clone(clean)
			lastSegment(fs).data[at] ^= 0x10
			_, err := openAndLoad(fs)
			Expect(errors.As(err, new(*wal.CorruptError))).To(BeTrue(), "byte %d: %v", at, err)
		}
	})

	DescribeTable("reports the name of the damaged file",
		func(breakFile func(fs *memFS), file string) {
			fs, _ := directoryAfter(fixedScript[:9])
			Expect(len(filesWithPrefix(fs, "wal-"))).To(BeNumerically(">", 1))
			breakFile(fs)
			_, err := openAndLoad(fs)
			var corrupt *wal.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "%v", err)
			Expect(corrupt.File).To(HavePrefix(file))
			Expect(fs.locked).To(BeFalse())
		},
		Entry("first segment missing", func(fs *memFS) { delete(fs.files, filesWithPrefix(fs, "wal-")[0]) }, "wal-"),
		Entry("first segment truncated", func(fs *memFS) {
			node := fs.files[filesWithPrefix(fs, "wal-")[0]]
			node.data = node.data[:len(node.data)-8]
		}, "wal-"),
		Entry("last segment empty", func(fs *memFS) { lastSegment(fs).data = nil }, "wal-"),
		Entry("snapshot missing", func(fs *memFS) { delete(fs.files, filesWithPrefix(fs, "snap-")[0]) }, "snap-"),
		Entry("snapshot empty", func(fs *memFS) { fs.files[filesWithPrefix(fs, "snap-")[0]].data = nil }, "snap-"),
		Entry("snapshot damaged", func(fs *memFS) { fs.files[filesWithPrefix(fs, "snap-")[0]].data[40] ^= 1 }, "snap-"),
		Entry("format missing", func(fs *memFS) { delete(fs.files, "FORMAT") }, "FORMAT"),
		Entry("format invalid", func(fs *memFS) { fs.files["FORMAT"].data = []byte("x") }, "FORMAT"),
	)

	It("reports a newer format version as such", func() {
		fs, _ := directoryAfter(shortScript)
		fs.files["FORMAT"].data = []byte("almondrock-wal 2\n")
		_, err := openAndLoad(fs)
		var version *wal.VersionError
		Expect(errors.As(err, &version)).To(BeTrue(), "%v", err)
		Expect(version.Version).To(Equal(uint32(2)))
	})
})

// FuzzDamage guards against panics, records that were never written, and silent loss of any save but the last one. It
// truncates the last segment, changes one byte of it and appends data.
func FuzzDamage(f *testing.F) {
	clean, states := directoryAfter(shortScript)
	content := lastSegment(clean).data
	f.Fuzz(func(t *testing.T, cut, at uint16, flip byte, tail []byte) {
		fs, _ := directoryAfter(shortScript)
		node := lastSegment(fs)
		node.data = node.data[:len(node.data)-int(cut)%(len(node.data)+1)]
		if len(node.data) > 0 {
			node.data[int(at)%len(node.data)] ^= flip
		}
		node.data = append(node.data, tail...)
		state, err := openAndLoad(fs)
		if err != nil {
			var corrupt *wal.CorruptError
			var version *wal.VersionError
			if !errors.As(err, &corrupt) && !errors.As(err, &version) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		for i, known := range states {
			// A truncation between saves can't be distinguished from a crash before the later saves; only it may lose them.
			if sameState(state, known) && (i >= len(states)-2 || cut > 0 || bytes.HasPrefix(content, node.data)) {
				return
			}
		}
		t.Fatalf("%s is not the state after any save", formatState(state))
	})
}

// FuzzSegment guards against panics and untyped errors on arbitrary content of the last segment.
func FuzzSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		fs, _ := directoryAfter(shortScript)
		lastSegment(fs).data = data
		_, err := openAndLoad(fs)
		var corrupt *wal.CorruptError
		var version *wal.VersionError
		if err != nil && !errors.As(err, &corrupt) && !errors.As(err, &version) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
