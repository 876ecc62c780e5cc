package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Parts of file names. Numbers have 16 hexadecimal digits, so that names sort in numerical order.
const (
	segmentPrefix   = "wal-"
	snapshotPrefix  = "snap-"
	temporarySuffix = ".tmp"
	numberDigits    = 16
)

// segmentHeader is the payload of the first record of a segment.
type segmentHeader struct {
	version  uint32
	sequence uint64
	// oldestNeeded is the sequence number of the oldest segment that is needed together with this one.
	oldestNeeded uint64
	// syncedSize is how many bytes of the segment were synced before it was renamed to its final name.
	syncedSize uint64
}

const segmentHeaderSize = 32

// firstRecordSize is the size of a segment's first record in bytes.
const firstRecordSize = recordHeaderSize + segmentHeaderSize

func (h segmentHeader) append(buffer []byte) ([]byte, error) {
	buffer = binary.LittleEndian.AppendUint32(buffer, h.version)
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.sequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.oldestNeeded)
	return binary.LittleEndian.AppendUint64(buffer, h.syncedSize), nil
}

// encode returns the first record of a segment. Its batch number is that of the last batch before the segment, previous.
func (h segmentHeader) encode(previous uint64) ([]byte, error) {
	first := newBatch(previous)
	if err := first.add(recordSegment, h.append); err != nil {
		return nil, err
	}
	return first.finish(), nil
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x", segmentPrefix, sequence)
}

// segmentSequences returns the sequence numbers of the segments among the file names, in ascending order.
func segmentSequences(names []string) []uint64 {
	var sequences []uint64
	for _, name := range names {
		digits, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok || len(digits) != numberDigits {
			continue
		}
		if sequence, err := strconv.ParseUint(digits, 16, 64); err == nil {
			sequences = append(sequences, sequence)
		}
	}
	slices.Sort(sequences)
	return sequences
}

// snapshotPosition is the position of a snapshot in the log. The zero value stands for no snapshot.
type snapshotPosition struct {
	index, term uint64
	// reset is set if the snapshot also replaces the entries after index, because the log has no entry with the index and
	// term of the snapshot.
	reset bool
}

const snapshotPositionSize = 24

func (p snapshotPosition) append(buffer []byte) ([]byte, error) {
	buffer = binary.LittleEndian.AppendUint64(buffer, p.index)
	buffer = binary.LittleEndian.AppendUint64(buffer, p.term)
	reset := uint64(0)
	if p.reset {
		reset = 1
	}
	return binary.LittleEndian.AppendUint64(buffer, reset), nil
}

// replayState accumulates the state while the batches of all segments are replayed in order.
type replayState struct {
	hardState        *schemav1.HardState
	snapshotPosition snapshotPosition
	entries          []*schemav1.Entry
	batch            uint64 // number of the last complete batch
	// pending holds the records of the current batch, until its last record has been read.
	pending []decodedRecord
}

// decodedRecord is the decoded payload of one record of a batch; exactly one field is set.
type decodedRecord struct {
	hardState        *schemav1.HardState
	entry            *schemav1.Entry
	snapshotPosition snapshotPosition
}

// decodeRecord decodes the payload of r. If it is invalid, the returned string is the reason, else it is empty.
func decodeRecord(r record) (decodedRecord, string) {
	switch r.kind {
	case recordHardState:
		hardState := &schemav1.HardState{}
		if err := proto.Unmarshal(r.payload, hardState); err != nil {
			return decodedRecord{}, "invalid hard state"
		}
		return decodedRecord{hardState: hardState}, ""
	case recordEntry:
		entry := &schemav1.Entry{}
		if err := proto.Unmarshal(r.payload, entry); err != nil || entry.Index == 0 {
			return decodedRecord{}, "invalid entry"
		}
		return decodedRecord{entry: entry}, ""
	case recordSnapshotPosition:
		if len(r.payload) != snapshotPositionSize {
			return decodedRecord{}, "invalid snapshot position"
		}
		return decodedRecord{snapshotPosition: snapshotPosition{
			index: binary.LittleEndian.Uint64(r.payload),
			term:  binary.LittleEndian.Uint64(r.payload[8:]),
			reset: r.payload[16] != 0,
		}}, ""
	default:
		return decodedRecord{}, fmt.Sprintf("record of type %d in a batch", r.kind)
	}
}

// commit applies the pending batch. If it has a gap in the entries, commit returns a reason, else an empty string.
func (p *replayState) commit() string {
	for _, c := range p.pending {
		switch {
		case c.hardState != nil:
			p.hardState = c.hardState
		case c.entry != nil:
			if !p.appendEntry(c.entry) {
				return fmt.Sprintf("gap before the entry with index %d", c.entry.Index)
			}
		default:
			p.applySnapshot(c.snapshotPosition)
		}
	}
	p.pending = p.pending[:0]
	p.batch++
	return ""
}

// appendEntry appends entry and removes the entries that it replaces. It returns false if there is a gap before entry. The
// entries before the first entry of the oldest segment may have been in a removed segment; readDirectory checks at the
// end that the entries start directly after the snapshot.
func (p *replayState) appendEntry(entry *schemav1.Entry) bool {
	if len(p.entries) == 0 {
		p.entries = append(p.entries, entry)
		return true
	}
	first := p.entries[0].Index
	if entry.Index > first+uint64(len(p.entries)) {
		return false
	}
	// An entry with an index below the first one replaces all: its predecessors were in a removed segment.
	keep := max(entry.Index, first) - first
	clear(p.entries[keep:])
	p.entries = append(p.entries[:keep], entry)
	return true
}

// applySnapshot sets the position of the snapshot and removes the entries that the snapshot covers or replaces.
func (p *replayState) applySnapshot(position snapshotPosition) {
	p.snapshotPosition = snapshotPosition{index: position.index, term: position.term}
	covered := len(p.entries)
	if !position.reset && covered > 0 {
		first := p.entries[0].Index
		covered = int(min(uint64(covered), max(position.index+1, first)-first))
	}
	if covered > 0 {
		p.entries = append([]*schemav1.Entry(nil), p.entries[covered:]...)
	}
}

// segmentReadResult is the result of reading a segment.
type segmentReadResult struct {
	header segmentHeader
	// previousBatch is the number of the last batch before the segment.
	previousBatch uint64
	// end is the offset after the last complete batch.
	end int64
	// maxIndex is the highest index of an entry in the segment.
	maxIndex uint64
	// torn is set if the bytes after end are an incomplete or invalid batch.
	torn bool
}

// readSegment replays one segment. It accepts a torn batch at the end only in the newest segment.
func (p *replayState) readSegment(fs FS, sequence uint64, isOldest, isNewest bool) (segmentReadResult, error) {
	name := segmentName(sequence)
	file, size, err := fs.Open(name)
	if err != nil {
		return segmentReadResult{}, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer file.Close()
	d := newDecoder(file, size)
	result := segmentReadResult{}
	p.pending = p.pending[:0]
	if result.header, err = p.readSegmentHeader(d, name, sequence, isOldest); err != nil {
		return result, err
	}
	result.previousBatch, result.end = p.batch, d.offset
	for {
		r, err := d.next()
		var invalid *invalidRecordError
		switch {
		case errors.Is(err, io.EOF) && len(p.pending) == 0:
			return result, p.checkSynced(&result, name, "segment is shorter than its synced size")
		case errors.Is(err, io.EOF):
			invalid = &invalidRecordError{offset: result.end, reason: "incomplete batch"}
			return result, p.checkTail(fs, &result, name, isNewest, invalid)
		case errors.As(err, &invalid):
			return result, p.checkTail(fs, &result, name, isNewest, invalid)
		case err != nil:
			return result, wrap(&IOError{Op: "read", File: name, Cause: err})
		}
		if r.batch != p.batch+1 {
			start := r.end - padded(recordHeaderSize+int64(len(r.payload)))
			invalid = &invalidRecordError{offset: start, reason: fmt.Sprintf("record of batch %d after batch %d", r.batch, p.batch)}
			return result, p.checkTail(fs, &result, name, isNewest, invalid)
		}
		if err := p.addRecord(r, &result, name); err != nil {
			return result, err
		}
	}
}

func (p *replayState) readSegmentHeader(d *decoder, name string, sequence uint64, isOldest bool) (segmentHeader, error) {
	corrupt := func(reason string) (segmentHeader, error) {
		return segmentHeader{}, wrap(&CorruptError{File: name, Reason: reason})
	}
	r, err := d.next()
	var invalid *invalidRecordError
	switch {
	case errors.Is(err, io.EOF):
		return corrupt("segment is empty")
	case errors.As(err, &invalid):
		return corrupt(invalid.reason)
	case err != nil:
		return segmentHeader{}, wrap(&IOError{Op: "read", File: name, Cause: err})
	case r.kind != recordSegment || len(r.payload) < 4:
		return corrupt("first record is not a segment header")
	}
	header := segmentHeader{version: binary.LittleEndian.Uint32(r.payload)}
	if header.version > formatVersion {
		return header, wrap(&VersionError{File: name, Version: header.version, MaxVersion: formatVersion})
	}
	if len(r.payload) != segmentHeaderSize {
		return corrupt("invalid segment header")
	}
	header.sequence = binary.LittleEndian.Uint64(r.payload[8:])
	header.oldestNeeded = binary.LittleEndian.Uint64(r.payload[16:])
	header.syncedSize = binary.LittleEndian.Uint64(r.payload[24:])
	switch {
	case header.sequence != sequence || header.oldestNeeded > sequence:
		return corrupt("segment header has an unexpected sequence number")
	case isOldest:
		p.batch = r.batch
	case p.batch != r.batch:
		return corrupt(fmt.Sprintf("segment continues batch %d, but the previous segment ends with batch %d", r.batch, p.batch))
	}
	return header, nil
}

// addRecord adds a valid record to the pending batch, and commits the batch if the record is its last one.
func (p *replayState) addRecord(r record, result *segmentReadResult, name string) error {
	start := r.end - padded(recordHeaderSize+int64(len(r.payload)))
	c, reason := decodeRecord(r)
	if reason != "" {
		return wrap(&CorruptError{File: name, Offset: start, Reason: reason})
	}
	p.pending = append(p.pending, c)
	if !r.last {
		return nil
	}
	for _, c := range p.pending {
		result.maxIndex = max(result.maxIndex, c.entry.GetIndex())
	}
	if reason := p.commit(); reason != "" {
		return wrap(&CorruptError{File: name, Offset: start, Reason: reason})
	}
	result.end = r.end
	return nil
}

// checkTail returns nil if a torn write can be the cause of the invalid record, and *CorruptError otherwise.
func (p *replayState) checkTail(fs FS, result *segmentReadResult, name string, isNewest bool, invalid *invalidRecordError) error {
	corrupt := wrap(&CorruptError{File: name, Offset: invalid.offset, Reason: invalid.reason})
	if !isNewest {
		return corrupt
	}
	if err := p.checkSynced(result, name, invalid.reason); err != nil {
		return err
	}
	data, err := readFile(fs, name)
	if err != nil {
		return err
	}
	// All records of a torn batch have the number after that of the last complete batch. The disk may have stored a later
	// part of a torn batch without an earlier one.
	if _, found := findLaterBatch(data[min(invalid.offset, int64(len(data))):], p.batch+1); found {
		return corrupt
	}
	p.pending = p.pending[:0]
	result.torn = true
	return nil
}

// checkSynced returns *CorruptError if the complete batches end before the synced size.
func (p *replayState) checkSynced(result *segmentReadResult, name, reason string) error {
	if uint64(result.end) < result.header.syncedSize {
		return wrap(&CorruptError{File: name, Offset: result.end, Reason: reason})
	}
	return nil
}

func readFile(fs FS, name string) ([]byte, error) {
	file, size, err := fs.Open(name)
	if err != nil {
		return nil, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer file.Close()
	data := make([]byte, size)
	if _, err := io.ReadFull(file, data); err != nil {
		return nil, wrap(&IOError{Op: "read", File: name, Cause: err})
	}
	return data, nil
}
