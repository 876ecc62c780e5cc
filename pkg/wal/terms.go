package wal

import schemav1 "almondrock.example/almondrock/pkg/schema/v1"

// termRun is a run of consecutive entries of one term. It starts at index first.
type termRun struct {
	first, term uint64
}

// entryTerms stores the term of every entry after the snapshot. Its size is proportional to the number of term changes.
type entryTerms struct {
	// base is the index of the snapshot, and last is the index of the last entry, or base if there is none.
	base, last uint64
	runs       []termRun
}

// at returns the term of the entry at index. It returns false if there is no such entry after the snapshot.
func (t *entryTerms) at(index uint64) (uint64, bool) {
	if index <= t.base || index > t.last {
		return 0, false
	}
	for i := len(t.runs) - 1; i >= 0; i-- {
		if t.runs[i].first <= index {
			return t.runs[i].term, true
		}
	}
	return 0, false
}

// appendEntry appends or replaces an entry and removes the entries after it. There must be no gap before the entry.
func (t *entryTerms) appendEntry(entry *schemav1.Entry) {
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].first >= entry.Index {
		t.runs = t.runs[:len(t.runs)-1]
	}
	if len(t.runs) == 0 || t.runs[len(t.runs)-1].term != entry.Term {
		t.runs = append(t.runs, termRun{first: entry.Index, term: entry.Term})
	}
	t.last = entry.Index
}

// applySnapshot sets base to the index of the snapshot and removes the entries that the snapshot covers or replaces.
func (t *entryTerms) applySnapshot(position snapshotPosition) {
	t.base = position.index
	if position.reset || t.last <= position.index {
		t.runs, t.last = nil, position.index
		return
	}
	for len(t.runs) > 1 && t.runs[1].first <= position.index+1 {
		t.runs = t.runs[1:]
	}
}

func (t *entryTerms) clone() *entryTerms {
	return &entryTerms{base: t.base, last: t.last, runs: append([]termRun(nil), t.runs...)}
}
