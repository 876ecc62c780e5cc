package wal

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Guards against reading files of a newer release as if they were of this one, or as corrupt.
var _ = DescribeTable("A file of a newer version is refused with its version",
	func(name string, content func() ([]byte, error)) {
		path := GinkgoT().TempDir()
		log, err := Open(path, Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Save(nil, nil, &schemav1.Snapshot{Index: 3, Term: 1})).To(Succeed())
		Expect(log.Close()).To(Succeed())
		newer, err := content()
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(path, name), newer, fileMode)).To(Succeed())
		_, err = Open(path, Options{})
		var version *VersionError
		Expect(errors.As(err, &version)).To(BeTrue(), "%v", err)
		Expect(*version).To(Equal(VersionError{File: name, Version: formatVersion + 1, MaxVersion: formatVersion}))
	},
	Entry("segment", segmentName(2), func() ([]byte, error) {
		return segmentHeader{version: formatVersion + 1, sequence: 2, oldest: 2}.encode(0)
	}),
	Entry("snapshot", snapshotName(mark{index: 3, term: 1}), func() ([]byte, error) {
		batch := newBatch(3)
		err := batch.add(recordSnapshot, func(buffer []byte) ([]byte, error) {
			return binary.LittleEndian.AppendUint64(buffer, uint64(formatVersion+1)), nil
		})
		return batch.finish(), err
	}),
)
