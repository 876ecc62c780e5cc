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

// Names of files. Numbers are 16 hexadecimal digits, so that names sort by them.
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
	// oldest is the sequence number of the oldest segment that is needed together with this one.
	oldest uint64
	// synced is how many bytes of the segment were synced before it got its name.
	synced uint64
}

const segmentHeaderSize = 32

// firstRecordSize is the size of a segment's first record in bytes.
const firstRecordSize = recordHeaderSize + segmentHeaderSize

func (h segmentHeader) append(buffer []byte) ([]byte, error) {
	buffer = binary.LittleEndian.AppendUint32(buffer, h.version)
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.sequence)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.oldest)
	return binary.LittleEndian.AppendUint64(buffer, h.synced), nil
}

// encode returns the first record of a segment that follows batch previous.
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

// segmentSequences returns the sequence numbers of the segments among names, in order.
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

// mark is the position of a snapshot. The zero mark stands for none.
type mark struct {
	index, term uint64
	// reset discards the entries after index too, because they do not follow on the snapshot.
	reset bool
}

const markSize = 24

func (m mark) append(buffer []byte) ([]byte, error) {
	buffer = binary.LittleEndian.AppendUint64(buffer, m.index)
	buffer = binary.LittleEndian.AppendUint64(buffer, m.term)
	reset := uint64(0)
	if m.reset {
		reset = 1
	}
	return binary.LittleEndian.AppendUint64(buffer, reset), nil
}

// replay is the state that the batches read so far amount to.
type replay struct {
	hard    *schemav1.HardState
	mark    mark
	entries []*schemav1.Entry
	batch   uint64
	// pending holds the records of a batch whose last record has not been read.
	pending []change
}

// change is one decoded record of a batch; exactly one field is set.
type change struct {
	hard  *schemav1.HardState
	entry *schemav1.Entry
	mark  mark
}

// decodeChange returns a reason when the payload is invalid.
func decodeChange(r record) (change, string) {
	switch r.kind {
	case recordHardState:
		hard := &schemav1.HardState{}
		if err := proto.Unmarshal(r.payload, hard); err != nil {
			return change{}, "invalid hard state"
		}
		return change{hard: hard}, ""
	case recordEntry:
		entry := &schemav1.Entry{}
		if err := proto.Unmarshal(r.payload, entry); err != nil || entry.Index == 0 {
			return change{}, "invalid entry"
		}
		return change{entry: entry}, ""
	case recordSnapshotMark:
		if len(r.payload) != markSize {
			return change{}, "invalid snapshot mark"
		}
		return change{mark: mark{
			index: binary.LittleEndian.Uint64(r.payload),
			term:  binary.LittleEndian.Uint64(r.payload[8:]),
			reset: r.payload[16] != 0,
		}}, ""
	default:
		return change{}, fmt.Sprintf("record of type %d in a batch", r.kind)
	}
}

// commit applies the pending batch and returns a reason when it does not follow on the state.
func (p *replay) commit() string {
	for _, c := range p.pending {
		switch {
		case c.hard != nil:
			p.hard = c.hard
		case c.entry != nil:
			if !p.put(c.entry) {
				return fmt.Sprintf("entry %d does not follow on the log", c.entry.Index)
			}
		default:
			p.take(c.mark)
		}
	}
	p.pending = p.pending[:0]
	p.batch++
	return ""
}

// put appends entry and drops the entries that it replaces. The first entry of the oldest segment may follow on a
// segment that was dropped; recovery checks at the end that the log follows on the snapshot.
func (p *replay) put(entry *schemav1.Entry) bool {
	if len(p.entries) == 0 {
		p.entries = append(p.entries, entry)
		return true
	}
	first := p.entries[0].Index
	if entry.Index > first+uint64(len(p.entries)) {
		return false
	}
	// An entry below the first one replaces all: its predecessors were in a segment that was dropped.
	keep := max(entry.Index, first) - first
	clear(p.entries[keep:])
	p.entries = append(p.entries[:keep], entry)
	return true
}

// take moves the snapshot to m and drops the entries that it covers.
func (p *replay) take(m mark) {
	p.mark = mark{index: m.index, term: m.term}
	covered := len(p.entries)
	if !m.reset && covered > 0 {
		first := p.entries[0].Index
		covered = int(min(uint64(covered), max(m.index+1, first)-first))
	}
	if covered > 0 {
		p.entries = append([]*schemav1.Entry(nil), p.entries[covered:]...)
	}
}

// segmentResult tells how far a segment was read.
type segmentResult struct {
	header segmentHeader
	// previous is the batch that the segment follows.
	previous uint64
	// end is the offset after the last whole batch.
	end int64
	// maxIndex is the highest index of an entry in the segment.
	maxIndex uint64
	// torn is set when bytes after end are not a whole batch.
	torn bool
}

// readSegment replays one segment. It cuts a torn tail only from the last segment.
func (p *replay) readSegment(fs FS, sequence uint64, first, last bool) (segmentResult, error) {
	name := segmentName(sequence)
	file, size, err := fs.Open(name)
	if err != nil {
		return segmentResult{}, wrap(&IOError{Op: "open", File: name, Cause: err})
	}
	defer file.Close()
	d := newDecoder(file, size)
	result := segmentResult{}
	p.pending = p.pending[:0]
	if result.header, err = p.readSegmentHeader(d, name, sequence, first); err != nil {
		return result, err
	}
	result.previous, result.end = p.batch, d.offset
	for {
		r, err := d.next()
		var damage *damageError
		switch {
		case errors.Is(err, io.EOF) && len(p.pending) == 0:
			return result, p.checkSynced(&result, name, "segment is shorter than it was")
		case errors.Is(err, io.EOF):
			damage = &damageError{offset: result.end, reason: "incomplete batch"}
			return result, p.checkTail(fs, &result, name, last, damage)
		case errors.As(err, &damage):
			return result, p.checkTail(fs, &result, name, last, damage)
		case err != nil:
			return result, wrap(&IOError{Op: "read", File: name, Cause: err})
		}
		if r.batch != p.batch+1 {
			start := r.end - padded(recordHeaderSize+int64(len(r.payload)))
			damage = &damageError{offset: start, reason: fmt.Sprintf("record of batch %d after batch %d", r.batch, p.batch)}
			return result, p.checkTail(fs, &result, name, last, damage)
		}
		if err := p.takeRecord(r, &result, name); err != nil {
			return result, err
		}
	}
}

func (p *replay) readSegmentHeader(d *decoder, name string, sequence uint64, first bool) (segmentHeader, error) {
	corrupt := func(reason string) (segmentHeader, error) {
		return segmentHeader{}, wrap(&CorruptError{File: name, Reason: reason})
	}
	r, err := d.next()
	var damage *damageError
	switch {
	case errors.Is(err, io.EOF):
		return corrupt("empty segment")
	case errors.As(err, &damage):
		return corrupt(damage.reason)
	case err != nil:
		return segmentHeader{}, wrap(&IOError{Op: "read", File: name, Cause: err})
	case r.kind != recordSegment || len(r.payload) < 4:
		return corrupt("no segment header")
	}
	header := segmentHeader{version: binary.LittleEndian.Uint32(r.payload)}
	if header.version > formatVersion {
		return header, wrap(&VersionError{File: name, Version: header.version, MaxVersion: formatVersion})
	}
	if len(r.payload) != segmentHeaderSize {
		return corrupt("invalid segment header")
	}
	header.sequence = binary.LittleEndian.Uint64(r.payload[8:])
	header.oldest = binary.LittleEndian.Uint64(r.payload[16:])
	header.synced = binary.LittleEndian.Uint64(r.payload[24:])
	switch {
	case header.sequence != sequence || header.oldest > sequence:
		return corrupt("segment header of another segment")
	case first:
		p.batch = r.batch
	case p.batch != r.batch:
		return corrupt(fmt.Sprintf("follows batch %d, but the segment before ends with %d", r.batch, p.batch))
	}
	return header, nil
}

// takeRecord adds a valid record to the pending batch and commits the batch with its last record.
func (p *replay) takeRecord(r record, result *segmentResult, name string) error {
	start := r.end - padded(recordHeaderSize+int64(len(r.payload)))
	c, reason := decodeChange(r)
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

// checkTail decides whether a torn write explains the damage.
func (p *replay) checkTail(fs FS, result *segmentResult, name string, last bool, damage *damageError) error {
	corrupt := wrap(&CorruptError{File: name, Offset: damage.offset, Reason: damage.reason})
	if !last {
		return corrupt
	}
	if err := p.checkSynced(result, name, damage.reason); err != nil {
		return err
	}
	data, err := readFile(fs, name)
	if err != nil {
		return err
	}
	// All records of the interrupted batch have the number after the last whole batch. The disk may have stored a
	// later part of it and not an earlier one.
	if _, found := findLater(data[min(damage.offset, int64(len(data))):], p.batch+1); found {
		return corrupt
	}
	p.pending = p.pending[:0]
	result.torn = true
	return nil
}

func (p *replay) checkSynced(result *segmentResult, name, reason string) error {
	if uint64(result.end) < result.header.synced {
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
