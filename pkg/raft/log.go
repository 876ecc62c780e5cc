package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// entryOverheadBytes is the approximate size of an entry without its data.
const entryOverheadBytes = 24

// entrySize returns the approximate size of an entry in bytes.
func entrySize(entry *schemav1.Entry) int { return len(entry.GetData()) + entryOverheadBytes }

// entryLog is the part of the log that is kept in memory. Entries are immutable once appended.
type entryLog struct {
	// snapshot is the latest snapshot. Its index is 0 if there is none.
	snapshot *schemav1.Snapshot
	// snapshotUnsaved is set while snapshot was received from a leader and is not durable yet.
	snapshotUnsaved bool
	// entries start at firstIndex. They may include entries that the snapshot covers, for followers that are slightly behind.
	entries    []*schemav1.Entry
	firstIndex uint64
	// termBeforeFirst is the term of the entry at firstIndex-1.
	termBeforeFirst uint64
	// durableIndex is the index of the last entry that this member has stored durably.
	durableIndex uint64
	// commitIndex is the index of the last entry known to be committed, appliedIndex that of the last one applied.
	commitIndex, appliedIndex uint64
}

// newEntryLog returns *ConfigError if the parts of state do not fit together.
func newEntryLog(state PersistentState) (*entryLog, error) {
	snapshot := state.Snapshot
	if snapshot == nil {
		snapshot = &schemav1.Snapshot{}
	}
	l := &entryLog{
		snapshot: snapshot, firstIndex: snapshot.GetIndex() + 1, termBeforeFirst: snapshot.GetTerm(),
		commitIndex: max(snapshot.GetIndex(), state.HardState.GetCommit()), appliedIndex: snapshot.GetIndex(),
	}
	for _, entry := range state.Entries {
		if entry.GetIndex() <= snapshot.GetIndex() {
			continue
		}
		if entry.GetIndex() != l.lastIndex()+1 {
			return nil, &ConfigError{"the stored log has a gap"}
		}
		l.entries = append(l.entries, entry)
	}
	l.durableIndex = l.lastIndex()
	if l.commitIndex > l.lastIndex() {
		return nil, &ConfigError{"the stored log ends before its commit index"}
	}
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.firstIndex + uint64(len(l.entries)) - 1 }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the entry is compacted or beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.firstIndex-1:
		return l.termBeforeFirst, true
	case index >= l.firstIndex && index <= l.lastIndex():
		return l.entries[index-l.firstIndex].GetTerm(), true
	}
	return 0, false
}

// matches reports whether the log has an entry with the given index and term.
func (l *entryLog) matches(index, term uint64) bool {
	ownTerm, ok := l.term(index)
	return ok && ownTerm == term
}

// isUpToDate reports whether a log that ends with the given index and term is at least as up to date as this one, which is
// the condition for a vote (thesis 3.6.1).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// between returns the entries with indexes from through to, up to limit bytes but at least one entry. The result is a copy,
// because entries appended after a truncation overwrite the array while messages may still refer to it.
func (l *entryLog) between(from, to uint64, limit int) []*schemav1.Entry {
	to = min(to, l.lastIndex())
	if from > to || from < l.firstIndex {
		return nil
	}
	window := l.entries[from-l.firstIndex : to-l.firstIndex+1]
	size := 0
	for i, entry := range window {
		size += entrySize(entry)
		if size > limit && i > 0 {
			window = window[:i]
			break
		}
	}
	return append([]*schemav1.Entry(nil), window...)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.firstIndex]
	l.durableIndex = min(l.durableIndex, index-1)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index < l.firstIndex {
		return
	}
	l.termBeforeFirst, _ = l.term(index)
	l.entries = append([]*schemav1.Entry(nil), l.entries[index-l.firstIndex+1:]...)
	l.firstIndex = index + 1
}

// restore replaces the whole log by a snapshot received from a leader.
func (l *entryLog) restore(snapshot *schemav1.Snapshot) {
	l.snapshot, l.snapshotUnsaved = snapshot, true
	l.entries = nil
	l.firstIndex, l.termBeforeFirst = snapshot.GetIndex()+1, snapshot.GetTerm()
	l.durableIndex, l.commitIndex, l.appliedIndex = snapshot.GetIndex(), snapshot.GetIndex(), snapshot.GetIndex()
}
