package wal

import (
	"io"
	"slices"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// PersistentState is the state that a log stores. Parts that were never stored are nil.
type PersistentState struct {
	HardState *schemav1.HardState
	Snapshot  *schemav1.Snapshot
	// Entries start directly after the snapshot and have no gaps.
	Entries []*schemav1.Entry
}

// segment describes a segment file.
type segment struct {
	sequence uint64
	maxIndex uint64 // highest index of an entry in the segment, 0 without entries
}

// recoveryResult is what readDirectory has read.
type recoveryResult struct {
	state            PersistentState
	snapshotPosition snapshotPosition
	batch            uint64 // number of the last complete batch
	segments         []segment
	// lastSegment includes how many bytes of the last segment are valid.
	lastSegment segmentReadResult
}

// readDirectory reads all files that are needed and recovers the state from them. It changes no file.
func readDirectory(fs FS) (recoveryResult, error) {
	names, err := listFiles(fs)
	if err != nil {
		return recoveryResult{}, err
	}
	sequences := segmentSequences(names)
	if len(sequences) == 0 {
		return recoveryResult{}, nil
	}
	newest := sequences[len(sequences)-1]
	header, err := peekHeader(fs, newest)
	if err != nil {
		return recoveryResult{}, err
	}
	result := recoveryResult{}
	p := &replayState{}
	for sequence := header.oldestNeeded; sequence <= newest; sequence++ {
		if !slices.Contains(sequences, sequence) {
			return recoveryResult{}, wrap(&CorruptError{File: segmentName(sequence), Reason: "segment file is missing"})
		}
		result.lastSegment, err = p.readSegment(fs, sequence, sequence == header.oldestNeeded, sequence == newest)
		if err != nil {
			return recoveryResult{}, err
		}
		result.segments = append(result.segments, segment{sequence: sequence, maxIndex: result.lastSegment.maxIndex})
	}
	result.snapshotPosition, result.batch = p.snapshotPosition, p.batch
	result.state = PersistentState{HardState: p.hardState, Entries: p.entries}
	if len(p.entries) > 0 && p.entries[0].Index != p.snapshotPosition.index+1 {
		return recoveryResult{}, wrap(&CorruptError{
			File: segmentName(header.oldestNeeded), Reason: "gap between the snapshot and the first entry",
		})
	}
	result.state.Snapshot, err = readSnapshot(fs, p.snapshotPosition, names)
	return result, err
}

// peekHeader reads only the header of a segment.
func peekHeader(fs FS, sequence uint64) (segmentHeader, error) {
	name := segmentName(sequence)
	file, size, err := fs.Open(name)
	if err != nil {
		return segmentHeader{}, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer file.Close()
	p := &replayState{}
	return p.readSegmentHeader(newDecoder(file, size), name, sequence, true)
}

// rewriteLastSegment replaces the last segment by a copy of its valid part, which it returns open for appending. This
// truncates a torn batch and makes durable what an earlier process may have failed to sync.
func rewriteLastSegment(fs FS, r recoveryResult) (File, error) {
	header := r.lastSegment.header
	header.syncedSize = uint64(r.lastSegment.end)
	first, err := header.encode(r.lastSegment.previousBatch)
	if err != nil {
		return nil, err
	}
	name := segmentName(header.sequence)
	source, _, err := fs.Open(name)
	if err != nil {
		return nil, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer source.Close()
	if _, err := io.CopyN(io.Discard, source, firstRecordSize); err != nil {
		return nil, wrap(&IOError{Op: "read", File: name, Cause: err})
	}
	rest := io.LimitReader(source, r.lastSegment.end-firstRecordSize)
	return createFileAtomically(fs, name, io.MultiReader(strings.NewReader(string(first)), rest))
}

// removeObsoleteFiles removes temporary files, segments older than oldest, and all snapshots but the given one.
func removeObsoleteFiles(fs FS, oldest uint64, snapshot snapshotPosition) error {
	names, err := listFiles(fs)
	if err != nil {
		return err
	}
	for _, name := range names {
		obsolete := strings.HasSuffix(name, temporarySuffix) ||
			strings.HasPrefix(name, segmentPrefix) && name < segmentName(oldest) ||
			strings.HasPrefix(name, snapshotPrefix) && name != snapshotName(snapshot)
		if !obsolete {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return wrap(&IOError{Op: "remove", File: name, Cause: err})
		}
	}
	return nil
}
