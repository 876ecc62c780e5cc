package wal

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	lockFile     = "LOCK"
	formatFile   = "FORMAT"
	identityFile = "IDENTITY"
	// formatVersion is the version of all files in the folder.
	formatVersion uint32 = 1
	formatLine           = "almondrock-wal %d\n"
	identityLine         = "%016x %08x\n"
)

// checkFormat refuses a folder of a newer format and marks a new folder.
func checkFormat(fs FS, names []string) error {
	if !slices.Contains(names, formatFile) {
		if len(segmentSequences(names)) > 0 {
			return wrap(&CorruptError{File: formatFile, Reason: "missing, but there are segments"})
		}
		return publishAndClose(fs, formatFile, strings.NewReader(fmt.Sprintf(formatLine, formatVersion)))
	}
	data, err := readFile(fs, formatFile)
	if err != nil {
		return err
	}
	var version uint32
	if _, err := fmt.Sscanf(string(data), formatLine, &version); err != nil || version == 0 {
		return wrap(&CorruptError{File: formatFile, Reason: "invalid format line"})
	}
	if version > formatVersion {
		return wrap(&VersionError{File: formatFile, Version: version, MaxVersion: formatVersion})
	}
	return nil
}

// readIdentity returns the stored identity, or 0 when there is none yet.
func readIdentity(fs FS) (uint64, error) {
	names, err := list(fs)
	if err != nil || !slices.Contains(names, identityFile) {
		return 0, err
	}
	data, err := readFile(fs, identityFile)
	if err != nil {
		return 0, err
	}
	var identity uint64
	var sum uint32
	_, err = fmt.Sscanf(string(data), identityLine, &identity, &sum)
	if err != nil || identity == 0 || string(data) != encodeIdentity(identity) {
		return 0, wrap(&CorruptError{File: identityFile, Reason: "invalid identity or checksum"})
	}
	return identity, nil
}

func encodeIdentity(identity uint64) string {
	digits := fmt.Sprintf("%016x", identity)
	return fmt.Sprintf(identityLine, identity, crc32.Checksum([]byte(digits), castagnoli))
}

// drawIdentity returns a random identity. Zero is reserved for none.
func drawIdentity() uint64 {
	var data [8]byte
	for {
		_, _ = rand.Read(data[:]) // never fails, by its contract
		if identity := binary.LittleEndian.Uint64(data[:]); identity != 0 {
			return identity
		}
	}
}

func snapshotName(m mark) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, m.index, m.term)
}

// encodeSnapshot returns the content of a snapshot file: one record whose payload is the format version (4 bytes), 4
// zeros and the message.
func encodeSnapshot(snapshot *schemav1.Snapshot) ([]byte, error) {
	batch := newBatch(snapshot.Index)
	err := batch.add(recordSnapshot, func(buffer []byte) ([]byte, error) {
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(formatVersion))
		return proto.MarshalOptions{}.MarshalAppend(buffer, snapshot)
	})
	return batch.finish(), err
}

func writeSnapshot(fs FS, m mark, encoded []byte) error {
	return publishAndClose(fs, snapshotName(m), bytes.NewReader(encoded))
}

// readSnapshot reads the snapshot at m; the zero mark has none.
func readSnapshot(fs FS, m mark, names []string) (*schemav1.Snapshot, error) {
	if m.index == 0 {
		return nil, nil
	}
	name := snapshotName(m)
	corrupt := func(reason string) error { return wrap(&CorruptError{File: name, Reason: reason}) }
	if !slices.Contains(names, name) {
		return nil, corrupt("missing snapshot")
	}
	file, size, err := fs.Open(name)
	if err != nil {
		return nil, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer file.Close()
	r, err := newDecoder(file, size).next()
	var damage *damageError
	switch {
	case errors.Is(err, io.EOF):
		return nil, corrupt("empty snapshot")
	case errors.As(err, &damage):
		return nil, corrupt(damage.reason)
	case err != nil:
		return nil, wrap(&IOError{Op: "read", File: name, Cause: err})
	case r.kind != recordSnapshot || len(r.payload) < 8 || r.end != size:
		return nil, corrupt("not one snapshot record")
	}
	if version := binary.LittleEndian.Uint32(r.payload); version > formatVersion {
		return nil, wrap(&VersionError{File: name, Version: version, MaxVersion: formatVersion})
	}
	snapshot := &schemav1.Snapshot{}
	if err := proto.Unmarshal(r.payload[8:], snapshot); err != nil {
		return nil, corrupt("invalid message")
	}
	if snapshot.Index != m.index || snapshot.Term != m.term {
		return nil, corrupt("snapshot of another position")
	}
	return snapshot, nil
}

func list(fs FS) ([]string, error) {
	names, err := fs.List()
	if err != nil {
		return nil, wrap(&IOError{Op: "list", File: ".", Cause: err})
	}
	return names, nil
}
