package raft

import (
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// entryOverheadBytes is the approximate size of an entry beyond its data, in bytes.
const entryOverheadBytes = 24

func entrySize(entry *schemav1.Entry) int { return len(entry.GetData()) + entryOverheadBytes }

// entryLog is the part of the log in memory. Entries are immutable once appended.
type entryLog struct {
	// snapshot is the latest; it has index 0 when there is none.
	snapshot *schemav1.Snapshot
	// restored is set while snapshot came from a leader and is not durable yet.
	restored bool
	// entries start at index first. They may reach back before the snapshot, to serve followers that are slightly slow.
	entries []*schemav1.Entry
	first   uint64
	// beforeTerm is the term of the entry at first-1.
	beforeTerm uint64
	// stable is the last index that is durable here.
	stable          uint64
	commit, applied uint64
}

func newEntryLog(state PersistentState) (*entryLog, error) {
	snapshot := state.Snapshot
	if snapshot == nil {
		snapshot = &schemav1.Snapshot{}
	}
	l := &entryLog{
		snapshot: snapshot, first: snapshot.GetIndex() + 1, beforeTerm: snapshot.GetTerm(),
		commit: max(snapshot.GetIndex(), state.HardState.GetCommit()), applied: snapshot.GetIndex(),
	}
	for _, entry := range state.Entries {
		if entry.GetIndex() <= snapshot.GetIndex() {
			continue
		}
		if entry.GetIndex() != l.last()+1 {
			return nil, &ConfigError{"the stored log has a gap"}
		}
		l.entries = append(l.entries, entry)
	}
	l.stable = l.last()
	if l.commit > l.last() {
		return nil, &ConfigError{"the stored log ends before its commit index"}
	}
	return l, nil
}

func (l *entryLog) last() uint64 { return l.first + uint64(len(l.entries)) - 1 }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term reports false when the entry is compacted or beyond the end.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.first-1:
		return l.beforeTerm, true
	case index >= l.first && index <= l.last():
		return l.entries[index-l.first].GetTerm(), true
	}
	return 0, false
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// isUpToDate is the voting rule of section 3.6.1 of the thesis.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// between returns a copy of entries from through to, at most limit bytes but at least one entry. It is a copy because
// a later truncation overwrites the array while messages still refer to it.
func (l *entryLog) between(from, to uint64, limit int) []*schemav1.Entry {
	to = min(to, l.last())
	if from > to || from < l.first {
		return nil
	}
	window := l.entries[from-l.first : to-l.first+1]
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

// truncate removes entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.first]
	l.stable = min(l.stable, index-1)
}

// compact drops entries up to index.
func (l *entryLog) compact(index uint64) {
	if index < l.first {
		return
	}
	l.beforeTerm, _ = l.term(index)
	l.entries = append([]*schemav1.Entry(nil), l.entries[index-l.first+1:]...)
	l.first = index + 1
}

// restore replaces the log by a leader's snapshot.
func (l *entryLog) restore(snapshot *schemav1.Snapshot) {
	l.snapshot, l.restored = snapshot, true
	l.entries = nil
	l.first, l.beforeTerm = snapshot.GetIndex()+1, snapshot.GetTerm()
	l.stable, l.commit, l.applied = snapshot.GetIndex(), snapshot.GetIndex(), snapshot.GetIndex()
}
