package wal

import (
	"io"
	"slices"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// PersistentState is what the log holds. Absent parts are nil.
type PersistentState struct {
	HardState *schemav1.HardState
	Snapshot  *schemav1.Snapshot
	// Entries follow on the snapshot without a gap.
	Entries []*schemav1.Entry
}

// segment is what is kept in memory of a segment.
type segment struct {
	sequence uint64
	maxIndex uint64
}

// recovered is the result of reading the folder.
type recovered struct {
	state    PersistentState
	mark     mark
	batch    uint64
	segments []segment
	// last tells how far the last segment is valid.
	last segmentResult
}

// recoverFolder reads the folder without changing it.
func recoverFolder(fs FS) (recovered, error) {
	names, err := list(fs)
	if err != nil {
		return recovered{}, err
	}
	sequences := segmentSequences(names)
	if len(sequences) == 0 {
		return recovered{}, nil
	}
	newest := sequences[len(sequences)-1]
	header, err := peekHeader(fs, newest)
	if err != nil {
		return recovered{}, err
	}
	result := recovered{}
	p := &replay{}
	for sequence := header.oldest; sequence <= newest; sequence++ {
		if !slices.Contains(sequences, sequence) {
			return recovered{}, wrap(&CorruptError{File: segmentName(sequence), Reason: "missing segment"})
		}
		result.last, err = p.readSegment(fs, sequence, sequence == header.oldest, sequence == newest)
		if err != nil {
			return recovered{}, err
		}
		result.segments = append(result.segments, segment{sequence: sequence, maxIndex: result.last.maxIndex})
	}
	result.mark, result.batch = p.mark, p.batch
	result.state = PersistentState{HardState: p.hard, Entries: p.entries}
	if len(p.entries) > 0 && p.entries[0].Index != p.mark.index+1 {
		return recovered{}, wrap(&CorruptError{
			File: segmentName(header.oldest), Reason: "entries do not follow on the snapshot",
		})
	}
	result.state.Snapshot, err = readSnapshot(fs, p.mark, names)
	return result, err
}

func peekHeader(fs FS, sequence uint64) (segmentHeader, error) {
	name := segmentName(sequence)
	file, size, err := fs.Open(name)
	if err != nil {
		return segmentHeader{}, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer file.Close()
	p := &replay{}
	return p.readSegmentHeader(newDecoder(file, size), name, sequence, true)
}

// rewrite writes the valid part of the last segment anew under its name, and returns it open for appending. It drops a
// torn tail and makes durable what an earlier process may have failed to sync.
func rewrite(fs FS, r recovered) (File, error) {
	header := r.last.header
	header.synced = uint64(r.last.end)
	first, err := header.encode(r.last.previous)
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
	rest := io.LimitReader(source, r.last.end-firstRecordSize)
	return publish(fs, name, io.MultiReader(strings.NewReader(string(first)), rest))
}

// removeLeftovers removes temporary files, and segments and snapshots that are no longer needed.
func removeLeftovers(fs FS, oldest uint64, snapshot mark) error {
	names, err := list(fs)
	if err != nil {
		return err
	}
	for _, name := range names {
		needless := strings.HasSuffix(name, temporarySuffix) ||
			strings.HasPrefix(name, segmentPrefix) && name < segmentName(oldest) ||
			strings.HasPrefix(name, snapshotPrefix) && name != snapshotName(snapshot)
		if !needless {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return wrap(&IOError{Op: "remove", File: name, Cause: err})
		}
	}
	return nil
}
