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

// written returns the folder that a process leaves which has saved a script, and the state after each save.
func written(script []save) (*memFS, []wal.PersistentState) {
	fs := newMemFS()
	if acknowledged, err := run(fs, script); err != nil {
		panic(fmt.Sprintf("save %d: %v", acknowledged, err))
	}
	states := []wal.PersistentState{{}}
	for _, s := range script {
		states = append(states, apply(states[len(states)-1], s))
	}
	return fs.reboot(keeps[1]), states
}

func filesWith(fs *memFS, prefix string) []string {
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
	names := filesWith(fs, "wal-")
	return fs.files[names[len(names)-1]]
}

// shortScript leaves all saves in one segment.
var shortScript = []save{
	{hard: hardState(1, 0)}, {entries: entries(1, 1, 1)}, {entries: entries(1, 2, 2)}, {entries: entries(1, 3, 4)},
}

var _ = Describe("Damage", func() {
	// Guards against refusing to open after a torn write, and against taking over a part of it.
	It("is cut off when it starts in the last save, at any length", func() {
		all, states := written(shortScript)
		before, _ := written(shortScript[:3])
		start := len(lastSegment(before).data)
		for size := start; size < len(lastSegment(all).data); size++ {
			fs, _ := written(shortScript)
			lastSegment(fs).data = lastSegment(fs).data[:size]
			state, err := load(fs)
			Expect(err).NotTo(HaveOccurred(), "cut at %d", size)
			Expect(equal(state, states[3])).To(BeTrue(), "cut at %d: %s", size, describe(state))
		}
	})

	// Guards against silent loss: damage before the last save can't be a torn write.
	It("is refused with file and offset in any byte before the last save", func() {
		before, _ := written(shortScript[:3])
		end := len(lastSegment(before).data)
		for at := range end {
			fs, _ := written(shortScript)
			lastSegment(fs).data[at] ^= 0x10
			_, err := load(fs)
			var corrupt *wal.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d: %v", at, err)
			Expect(corrupt.File).To(HavePrefix("wal-"))
			Expect(corrupt.Offset).To(BeNumerically("<=", at))
		}
	})

	// Guards against treating damage as torn in bytes that were synced before the folder was last opened.
	It("is refused in any byte that was there at the last open", func() {
		fs, _ := written(shortScript)
		_, err := load(fs)
		Expect(err).NotTo(HaveOccurred())
		clean := bytes.Clone(lastSegment(fs).data)
		for at := range clean {
			lastSegment(fs).data = bytes.Clone(clean)
			lastSegment(fs).data[at] ^= 0x10
			_, err := load(fs)
			Expect(errors.As(err, new(*wal.CorruptError))).To(BeTrue(), "byte %d: %v", at, err)
		}
	})

	DescribeTable("of files is refused",
		func(breakFile func(fs *memFS), file string) {
			fs, _ := written(fixedScript[:9])
			Expect(len(filesWith(fs, "wal-"))).To(BeNumerically(">", 1))
			breakFile(fs)
			_, err := load(fs)
			var corrupt *wal.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "%v", err)
			Expect(corrupt.File).To(HavePrefix(file))
			Expect(fs.locked).To(BeFalse())
		},
		Entry("first segment missing", func(fs *memFS) { delete(fs.files, filesWith(fs, "wal-")[0]) }, "wal-"),
		Entry("first segment short", func(fs *memFS) {
			node := fs.files[filesWith(fs, "wal-")[0]]
			node.data = node.data[:len(node.data)-8]
		}, "wal-"),
		Entry("last segment empty", func(fs *memFS) { lastSegment(fs).data = nil }, "wal-"),
		Entry("snapshot missing", func(fs *memFS) { delete(fs.files, filesWith(fs, "snap-")[0]) }, "snap-"),
		Entry("snapshot empty", func(fs *memFS) { fs.files[filesWith(fs, "snap-")[0]].data = nil }, "snap-"),
		Entry("snapshot damaged", func(fs *memFS) { fs.files[filesWith(fs, "snap-")[0]].data[40] ^= 1 }, "snap-"),
		Entry("format missing", func(fs *memFS) { delete(fs.files, "FORMAT") }, "FORMAT"),
		Entry("format garbled", func(fs *memFS) { fs.files["FORMAT"].data = []byte("x") }, "FORMAT"),
	)

	It("of a newer format is refused as such", func() {
		fs, _ := written(shortScript)
		fs.files["FORMAT"].data = []byte("almondrock-wal 2\n")
		_, err := load(fs)
		var version *wal.VersionError
		Expect(errors.As(err, &version)).To(BeTrue(), "%v", err)
		Expect(version.Version).To(Equal(uint32(2)))
	})
})

// FuzzDamage guards against panics, against records that were never written, and against silent loss of any save but
// the last one, for a folder whose last segment is cut, changed in one place and extended by data.
func FuzzDamage(f *testing.F) {
	clean, states := written(shortScript)
	content := lastSegment(clean).data
	f.Fuzz(func(t *testing.T, cut, at uint16, flip byte, tail []byte) {
		fs, _ := written(shortScript)
		node := lastSegment(fs)
		node.data = node.data[:len(node.data)-int(cut)%(len(node.data)+1)]
		if len(node.data) > 0 {
			node.data[int(at)%len(node.data)] ^= flip
		}
		node.data = append(node.data, tail...)
		state, err := load(fs)
		if err != nil {
			var corrupt *wal.CorruptError
			var version *wal.VersionError
			if !errors.As(err, &corrupt) && !errors.As(err, &version) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		for i, known := range states {
			// A cut in the middle is not told from a crash before the later saves; only such a cut may lose them.
			if equal(state, known) && (i >= len(states)-2 || cut > 0 || bytes.HasPrefix(content, node.data)) {
				return
			}
		}
		t.Fatalf("%s was never the state", describe(state))
	})
}

// FuzzSegment guards against panics and untyped errors on arbitrary content of the last segment.
func FuzzSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		fs, _ := written(shortScript)
		lastSegment(fs).data = data
		_, err := load(fs)
		var corrupt *wal.CorruptError
		var version *wal.VersionError
		if err != nil && !errors.As(err, &corrupt) && !errors.As(err, &version) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
