package wal

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// DefaultSegmentSize is in bytes. The size limits how much Open rewrites and how much outdated data remains after a
// snapshot.
const DefaultSegmentSize = 8 << 20

// Options configures a Log. Zero fields take the defaults.
type Options struct {
	// FS is used instead of the directory at the path given to Open.
	FS FS
	// SegmentSize is the size in bytes from which on a new segment is started.
	SegmentSize int64
}

// Log stores the durable state of one Raft member. It is safe for concurrent use. Concurrent calls of Save run one
// after the other, each with its own sync, so a caller that wants one sync for several changes passes them in one call.
type Log struct {
	fs          FS
	lock        io.Closer
	segmentSize int64

	mu               sync.Mutex
	active           File
	activeSize       int64
	segments         []segment // oldest first; the last one is active
	batch            uint64    // number of the last batch
	latestHardState  *schemav1.HardState
	snapshotPosition snapshotPosition
	terms            *entryTerms
	recoveredState   *PersistentState // what Open read; nil after the first Load or Save
	failure          error
	closed           bool
}

// Open locks the directory at path, which it creates if needed, and recovers the log in it. Errors: *LockedError,
// *CorruptError, *VersionError, *NoSpaceError, *IOError.
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
	log := &Log{fs: fs, lock: lock, segmentSize: options.SegmentSize, terms: &entryTerms{}}
	if err := log.recover(); err != nil {
		if log.active != nil {
			log.active.Close()
		}
		lock.Close()
		if noSpace := asNoSpaceError(err); noSpace != nil {
			return nil, noSpace
		}
		return nil, err
	}
	return log, nil
}

func (l *Log) recover() error {
	names, err := listFiles(l.fs)
	if err != nil {
		return err
	}
	if err := checkFormat(l.fs, names); err != nil {
		return err
	}
	r, err := readDirectory(l.fs)
	if err != nil {
		return err
	}
	if len(r.segments) == 0 {
		if err := l.startSegment(newBatch(1), nil, 1, nil); err != nil {
			return err
		}
		l.recoveredState = &PersistentState{}
		return removeObsoleteFiles(l.fs, 1, snapshotPosition{})
	}
	if l.active, err = rewriteLastSegment(l.fs, r); err != nil {
		return err
	}
	l.activeSize, l.segments, l.batch = r.lastSegment.end, r.segments, r.batch
	l.latestHardState, l.snapshotPosition, l.recoveredState = r.state.HardState, r.snapshotPosition, &r.state
	l.terms.applySnapshot(r.snapshotPosition)
	for _, entry := range r.state.Entries {
		l.terms.appendEntry(entry)
	}
	return removeObsoleteFiles(l.fs, l.segments[0].sequence, l.snapshotPosition)
}

// Load returns everything that Save has stored. The first call returns what Open read, unless Save was called before;
// other calls read the files again.
func (l *Log) Load() (PersistentState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkUsable(); err != nil {
		return PersistentState{}, err
	}
	if l.recoveredState != nil {
		state := *l.recoveredState
		l.recoveredState = nil
		return state, nil
	}
	r, err := readDirectory(l.fs)
	return r.state, err
}

// Save stores its arguments, each of which may be nil, and returns when they are durable. It stores all of them or none.
// Entries replace stored entries from their first index on. Entries that the snapshot covers are not stored. If the log
// has no entry with the index and term of the snapshot, the snapshot replaces all stored entries, as for a follower that
// installs a leader's snapshot; the given entries must then start directly after the snapshot. Errors: *SequenceError,
// *EncodeError and *NoSpaceError leave the log usable and unchanged; *IOError is returned by this and all later calls.
func (l *Log) Save(hardState *schemav1.HardState, entries []*schemav1.Entry, snapshot *schemav1.Snapshot) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkUsable(); err != nil {
		return err
	}
	l.recoveredState = nil
	newPosition, err := l.newSnapshotPosition(snapshot)
	if err != nil {
		return err
	}
	terms := l.terms.clone()
	if newPosition != nil {
		terms.applySnapshot(*newPosition)
	}
	if entries, err = appendEntryTerms(terms, entries); err != nil {
		return err
	}
	if hardState == nil && len(entries) == 0 && newPosition == nil {
		return nil
	}
	latestHardState := l.latestHardState
	if hardState != nil {
		latestHardState = proto.Clone(hardState).(*schemav1.HardState)
	}
	if newPosition != nil || l.activeSize >= l.segmentSize {
		err = l.rotate(latestHardState, entries, newPosition, snapshot)
	} else {
		err = l.append(hardState, entries)
	}
	if err != nil {
		return err
	}
	l.latestHardState, l.terms = latestHardState, terms
	return nil
}

// newSnapshotPosition returns the position of a snapshot to store, or nil if snapshot is nil or already stored.
func (l *Log) newSnapshotPosition(snapshot *schemav1.Snapshot) (*snapshotPosition, error) {
	if snapshot == nil {
		return nil, nil
	}
	position := snapshotPosition{index: snapshot.Index, term: snapshot.Term}
	if position.index == l.snapshotPosition.index && position.term == l.snapshotPosition.term && position.index > 0 {
		return nil, nil
	}
	if position.index <= l.snapshotPosition.index {
		return nil, wrap(&SequenceError{
			Reason: fmt.Sprintf("snapshot at index %d, but the stored snapshot is at index %d", position.index, l.snapshotPosition.index),
		})
	}
	term, ok := l.terms.at(position.index)
	position.reset = !ok || term != position.term
	return &position, nil
}

// appendEntryTerms appends the terms of entries to terms and returns the entries that the snapshot does not cover. It
// returns *SequenceError if an index is 0 or leaves a gap.
func appendEntryTerms(terms *entryTerms, entries []*schemav1.Entry) ([]*schemav1.Entry, error) {
	for len(entries) > 0 && entries[0].Index > 0 && entries[0].Index <= terms.base {
		entries = entries[1:]
	}
	for i, entry := range entries {
		if entry.Index == 0 || entry.Index > terms.last+1 || i > 0 && entry.Index != entries[i-1].Index+1 {
			return nil, wrap(&SequenceError{
				Reason: fmt.Sprintf("entry with index %d does not continue the log, which ends at index %d", entry.Index, terms.last),
			})
		}
		terms.appendEntry(entry)
	}
	return entries, nil
}

// addRecords adds records of its arguments to a batch. The position of the snapshot comes first, because the entries
// start after it.
func addRecords(batch *batchBuilder, position snapshotPosition, hardState *schemav1.HardState, entries []*schemav1.Entry) error {
	if position.index > 0 {
		if err := batch.add(recordSnapshotPosition, position.append); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := batch.addMessage(recordHardState, hardState); err != nil {
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
	if err := addRecords(batch, snapshotPosition{}, hardState, entries); err != nil {
		return err
	}
	data := batch.finish()
	current := &l.segments[len(l.segments)-1]
	if err := appendAndSync(l.active, segmentName(current.sequence), data); err != nil {
		noSpace := asNoSpaceError(err)
		if noSpace == nil {
			return l.setFailure(err)
		}
		// The next batch must not follow the part that was written.
		if err := l.active.Truncate(l.activeSize); err != nil {
			return l.setFailure(wrap(&IOError{Op: "truncate", File: segmentName(current.sequence), Cause: err}))
		}
		return noSpace
	}
	l.batch++
	l.activeSize += int64(len(data))
	current.maxIndex = max(current.maxIndex, lastIndex(entries))
	return nil
}

// rotate stores the snapshot, if there is one, and starts a new segment with the other arguments. All of it becomes valid
// at once when the segment is renamed to its final name.
func (l *Log) rotate(
	hardState *schemav1.HardState, entries []*schemav1.Entry, newPosition *snapshotPosition, snapshot *schemav1.Snapshot,
) error {
	batch := newBatch(l.batch + 1)
	position := l.snapshotPosition
	if newPosition != nil {
		position = *newPosition
	}
	if err := addRecords(batch, position, hardState, entries); err != nil {
		return err
	}
	if newPosition != nil {
		encoded, err := encodeSnapshot(snapshot)
		if err != nil {
			return err
		}
		if err := writeSnapshot(l.fs, position, encoded); err != nil {
			return l.failUnlessNoSpace(err)
		}
	}
	previous, sequence := l.active, l.segments[len(l.segments)-1].sequence+1
	if err := l.startSegment(batch, entries, sequence, l.keptSegments(position)); err != nil {
		return l.failUnlessNoSpace(err)
	}
	if err := previous.Close(); err != nil {
		return l.setFailure(wrap(&IOError{Op: "close", File: segmentName(sequence - 1), Cause: err}))
	}
	l.snapshotPosition = snapshotPosition{index: position.index, term: position.term}
	if err := removeObsoleteFiles(l.fs, l.segments[0].sequence, l.snapshotPosition); err != nil {
		return l.setFailure(err)
	}
	return nil
}

// keptSegments returns the segments that are still needed: those from the first one that has an entry after the snapshot.
func (l *Log) keptSegments(position snapshotPosition) []segment {
	if position.reset {
		return nil
	}
	kept := l.segments
	for len(kept) > 0 && kept[0].maxIndex <= position.index {
		kept = kept[1:]
	}
	return append([]segment(nil), kept...)
}

// failUnlessNoSpace makes the log unusable unless err means that the disk is full, and returns the error for the caller.
func (l *Log) failUnlessNoSpace(err error) error {
	if noSpace := asNoSpaceError(err); noSpace != nil {
		return noSpace
	}
	return l.setFailure(err)
}

// startSegment creates a segment that contains batch, which may be empty, and makes it the active one after those in kept.
func (l *Log) startSegment(batch *batchBuilder, entries []*schemav1.Entry, sequence uint64, kept []segment) error {
	data := batch.finish()
	size := firstRecordSize + int64(len(data))
	header := segmentHeader{version: formatVersion, sequence: sequence, oldestNeeded: sequence, syncedSize: uint64(size)}
	if len(kept) > 0 {
		header.oldestNeeded = kept[0].sequence
	}
	first, err := header.encode(l.batch)
	if err != nil {
		return err
	}
	content := io.MultiReader(bytes.NewReader(first), bytes.NewReader(data))
	active, err := createFileAtomically(l.fs, segmentName(sequence), content)
	if err != nil {
		return err
	}
	l.active = active
	if len(data) > 0 {
		l.batch++
	}
	l.activeSize = size
	l.segments = append(append([]segment(nil), kept...), segment{sequence: sequence, maxIndex: lastIndex(entries)})
	return nil
}

// Identity returns the identity of the host. The first call generates it at random and stores it. It is never zero.
func (l *Log) Identity() (uint64, error) { return l.IdentityWithDefault(0) }

// IdentityWithDefault is like Identity, but if no identity is stored yet, it stores initial instead of a random one, unless
// initial is zero. It serves members whose identity is agreed on in advance.
func (l *Log) IdentityWithDefault(initial uint64) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkUsable(); err != nil {
		return 0, err
	}
	identity, err := readIdentity(l.fs)
	if err != nil || identity != 0 {
		return identity, err
	}
	if identity = initial; identity == 0 {
		identity = randomIdentity()
	}
	if err := writeFileAtomically(l.fs, identityFile, bytes.NewReader([]byte(encodeIdentity(identity)))); err != nil {
		return 0, l.failUnlessNoSpace(err)
	}
	return identity, nil
}

// Close unlocks the directory. It returns the error that made the log unusable, if any. It need not sync, because Save
// has done so.
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

// checkUsable returns *ClosedError or the first failure of the log, if any.
func (l *Log) checkUsable() error {
	if l.closed {
		return wrap(&ClosedError{})
	}
	return l.failure
}

// setFailure makes the log unusable: all later calls return err, which it also returns itself.
func (l *Log) setFailure(err error) error {
	l.failure = err
	return err
}

func lastIndex(entries []*schemav1.Entry) uint64 {
	if len(entries) == 0 {
		return 0
	}
	return entries[len(entries)-1].Index
}
