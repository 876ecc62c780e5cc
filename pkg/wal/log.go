package wal

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// DefaultSegmentSize is in bytes. It bounds what Open writes anew, and what a snapshot leaves behind.
const DefaultSegmentSize = 8 << 20

// Options configures a Log. Zero fields take the defaults.
type Options struct {
	// FS replaces the operating system's files.
	FS FS
	// SegmentSize is the size in bytes above which a new segment is started.
	SegmentSize int64
}

// Log is the durable state of one Raft member. It is safe for concurrent use; concurrent calls of Save are served one
// after the other, so a caller that wants one sync for several changes passes them in one call.
type Log struct {
	fs          FS
	lock        io.Closer
	segmentSize int64

	mu         sync.Mutex
	active     File
	activeSize int64
	segments   []segment // oldest first; the last one is active
	batch      uint64
	hard       *schemav1.HardState
	mark       mark
	terms      *termLog
	recovered  *PersistentState // until the first Load
	failure    error
	closed     bool
}

// Open locks the folder at path and recovers the log in it. Errors: *LockedError, *CorruptError, *VersionError,
// *IOError.
func Open(path string, options Options) (*Log, error) {
	fs := options.FS
	if fs == nil {
		var err error
		if fs, err = NewDirFS(path); err != nil {
			return nil, err
		}
	}
	if options.SegmentSize <= 0 {
		options.SegmentSize = DefaultSegmentSize
	}
	lock, err := fs.Lock(lockFile)
	if err != nil {
		return nil, wrap(asIOError("lock", lockFile, err))
	}
	log := &Log{fs: fs, lock: lock, segmentSize: options.SegmentSize, terms: &termLog{}}
	if err := log.recover(); err != nil {
		if log.active != nil {
			log.active.Close()
		}
		lock.Close()
		return nil, err
	}
	return log, nil
}

func (l *Log) recover() error {
	names, err := list(l.fs)
	if err != nil {
		return err
	}
	if err := checkFormat(l.fs, names); err != nil {
		return err
	}
	r, err := recoverFolder(l.fs)
	if err != nil {
		return err
	}
	if len(r.segments) == 0 {
		if err := l.startSegment(newBatch(1), nil, 1); err != nil {
			return err
		}
		l.recovered = &PersistentState{}
		return removeLeftovers(l.fs, 1, mark{})
	}
	if l.active, err = rewrite(l.fs, r); err != nil {
		return err
	}
	l.activeSize, l.segments, l.batch = r.last.end, r.segments, r.batch
	l.hard, l.mark, l.recovered = r.state.HardState, r.mark, &r.state
	l.terms.rebase(r.mark)
	for _, entry := range r.state.Entries {
		l.terms.put(entry)
	}
	return removeLeftovers(l.fs, l.segments[0].sequence, l.mark)
}

// Load returns everything that Save has acknowledged. The first call returns what Open read; later calls read the files
// again.
func (l *Log) Load() (PersistentState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.usable(); err != nil {
		return PersistentState{}, err
	}
	if l.recovered != nil {
		state := *l.recovered
		l.recovered = nil
		return state, nil
	}
	r, err := recoverFolder(l.fs)
	return r.state, err
}

// Save stores the given parts, each of which may be nil, and returns when all are durable. All parts are stored or none.
// Entries replace stored entries from their first index on. Entries that the snapshot covers are not stored. A snapshot
// that the stored entries do not lead to replaces them all, as for a follower that installs a leader's snapshot; the
// given entries then follow on the snapshot. Errors: *SequenceError and *EncodeError leave the log usable and
// unchanged; *IOError is returned by this and all later calls.
func (l *Log) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.usable(); err != nil {
		return err
	}
	l.recovered = nil
	target, err := l.targetOf(snapshot)
	if err != nil {
		return err
	}
	terms := l.terms.clone()
	if target != nil {
		terms.rebase(*target)
	}
	if entries, err = follow(terms, entries); err != nil {
		return err
	}
	if hardState == nil && len(entries) == 0 && target == nil {
		return nil
	}
	hard := l.hard
	if hardState != nil {
		hard = proto.Clone(hardState).(*schemav1.HardState)
	}
	if target != nil || l.activeSize >= l.segmentSize {
		err = l.rotate(hard, entries, target, snapshot)
	} else {
		err = l.append(hardState, entries)
	}
	if err != nil {
		return err
	}
	l.hard, l.terms = hard, terms
	return nil
}

// targetOf returns the mark of a snapshot to store, or nil when there is none or it is stored already.
func (l *Log) targetOf(snapshot *schemav1.Snapshot) (*mark, error) {
	if snapshot == nil {
		return nil, nil
	}
	m := mark{index: snapshot.Index, term: snapshot.Term}
	if m.index == l.mark.index && m.term == l.mark.term && m.index > 0 {
		return nil, nil
	}
	if m.index <= l.mark.index {
		return nil, wrap(&SequenceError{
			Reason: fmt.Sprintf("snapshot at %d, stored is one at %d", m.index, l.mark.index),
		})
	}
	term, ok := l.terms.at(m.index)
	m.reset = !ok || term != m.term
	return &m, nil
}

// follow puts entries into terms and returns those that the snapshot does not cover.
func follow(terms *termLog, entries []*schemav1.Entry) ([]*schemav1.Entry, error) {
	for len(entries) > 0 && entries[0].Index > 0 && entries[0].Index <= terms.base {
		entries = entries[1:]
	}
	for i, entry := range entries {
		if entry.Index == 0 || entry.Index > terms.last+1 || i > 0 && entry.Index != entries[i-1].Index+1 {
			return nil, wrap(&SequenceError{
				Reason: fmt.Sprintf("entry %d, the log ends at %d", entry.Index, terms.last),
			})
		}
		terms.put(entry)
	}
	return entries, nil
}

// addChanges adds the given parts to a batch; m comes first, because entries follow on it.
func addChanges(batch *batchBuilder, m mark, hard *schemav1.HardState, entries []*schemav1.Entry) error {
	if m.index > 0 {
		if err := batch.add(recordSnapshotMark, m.append); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := batch.addMessage(recordHardState, hard); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := batch.addMessage(recordEntry, entry); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) append(hardState *schemav1.HardState, entries []*schemav1.Entry) error {
	batch := newBatch(l.batch + 1)
	if err := addChanges(batch, mark{}, hardState, entries); err != nil {
		return err
	}
	data := batch.finish()
	current := &l.segments[len(l.segments)-1]
	if err := appendAndSync(l.active, segmentName(current.sequence), data); err != nil {
		return l.poison(err)
	}
	l.batch++
	l.activeSize += int64(len(data))
	current.maxIndex = max(current.maxIndex, lastIndex(entries))
	return nil
}

// rotate stores the snapshot and starts a segment with everything else. The segment's name is what makes all of it
// valid at once.
func (l *Log) rotate(
	hard *schemav1.HardState, entries []*schemav1.Entry, target *mark, snapshot *schemav1.Snapshot,
) error {
	batch := newBatch(l.batch + 1)
	m := l.mark
	if target != nil {
		m = *target
	}
	if err := addChanges(batch, m, hard, entries); err != nil {
		return err
	}
	if target != nil {
		encoded, err := encodeSnapshot(snapshot)
		if err != nil {
			return err
		}
		if err := writeSnapshot(l.fs, m, encoded); err != nil {
			return l.poison(err)
		}
	}
	kept := l.keptSegments(m)
	sequence := l.segments[len(l.segments)-1].sequence + 1
	if err := l.active.Close(); err != nil {
		return l.poison(wrap(&IOError{Op: "close", File: segmentName(sequence - 1), Cause: err}))
	}
	l.segments = kept
	if err := l.startSegment(batch, entries, sequence); err != nil {
		return l.poison(err)
	}
	l.mark = mark{index: m.index, term: m.term}
	if err := removeLeftovers(l.fs, l.segments[0].sequence, l.mark); err != nil {
		return l.poison(err)
	}
	return nil
}

// keptSegments returns the segments from the first one that holds an entry above the snapshot.
func (l *Log) keptSegments(m mark) []segment {
	if m.reset {
		return nil
	}
	kept := l.segments
	for len(kept) > 0 && kept[0].maxIndex <= m.index {
		kept = kept[1:]
	}
	return append([]segment(nil), kept...)
}

// startSegment creates a segment with batch, which may be empty, and makes it the active one.
func (l *Log) startSegment(batch *batchBuilder, entries []*schemav1.Entry, sequence uint64) error {
	data := batch.finish()
	size := firstRecordSize + int64(len(data))
	header := segmentHeader{version: formatVersion, sequence: sequence, oldest: sequence, synced: uint64(size)}
	if len(l.segments) > 0 {
		header.oldest = l.segments[0].sequence
	}
	first, err := header.encode(l.batch)
	if err != nil {
		return err
	}
	content := io.MultiReader(bytes.NewReader(first), bytes.NewReader(data))
	if l.active, err = publish(l.fs, segmentName(sequence), content); err != nil {
		return err
	}
	if len(data) > 0 {
		l.batch++
	}
	l.activeSize = size
	l.segments = append(l.segments, segment{sequence: sequence, maxIndex: lastIndex(entries)})
	return nil
}

// Identity returns the identity of the host, which the first call draws at random and stores. It is never zero.
func (l *Log) Identity() (uint64, error) { return l.IdentityWithDefault(0) }

// IdentityWithDefault is Identity for a member whose identity is agreed on in advance: a new folder stores first instead of a
// random identity, unless first is zero.
func (l *Log) IdentityWithDefault(first uint64) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.usable(); err != nil {
		return 0, err
	}
	identity, err := readIdentity(l.fs)
	if err != nil || identity != 0 {
		return identity, err
	}
	if identity = first; identity == 0 {
		identity = drawIdentity()
	}
	if err := publishAndClose(l.fs, identityFile, bytes.NewReader([]byte(encodeIdentity(identity)))); err != nil {
		return 0, l.poison(err)
	}
	return identity, nil
}

// Close releases the folder. It returns the failure that poisoned the log, if any. It syncs nothing, since Save has.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return wrap(&ClosedError{})
	}
	l.closed = true
	if l.active != nil {
		if err := l.active.Close(); err != nil && l.failure == nil {
			l.failure = wrap(&IOError{Op: "close", File: "active segment", Cause: err})
		}
	}
	if err := l.lock.Close(); err != nil && l.failure == nil {
		l.failure = wrap(&IOError{Op: "unlock", File: lockFile, Cause: err})
	}
	return l.failure
}

func (l *Log) usable() error {
	if l.closed {
		return wrap(&ClosedError{})
	}
	return l.failure
}

func (l *Log) poison(err error) error {
	l.failure = err
	return err
}

func lastIndex(entries []*schemav1.Entry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return entries[len(entries)-1].Index
}
