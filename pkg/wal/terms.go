package wal

import schemav1 "almondrock.example/almondrock/pkg/schema/v1"

// termRun is a run of entries of one term that starts at first.
type termRun struct {
	first, term uint64
}

// termLog knows the term of every entry after the snapshot, in memory proportional to the changes of term.
type termLog struct {
	// base is the index of the snapshot, and last the index of the last entry.
	base, last uint64
	runs       []termRun
}

// at returns the term of the entry at index.
func (t *termLog) at(index uint64) (uint64, bool) {
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

// put appends an entry, which must follow on the log or lie in it, and drops what follows on it.
func (t *termLog) put(entry *schemav1.Entry) {
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].first >= entry.Index {
		t.runs = t.runs[:len(t.runs)-1]
	}
	if len(t.runs) == 0 || t.runs[len(t.runs)-1].term != entry.Term {
		t.runs = append(t.runs, termRun{first: entry.Index, term: entry.Term})
	}
	t.last = entry.Index
}

// rebase moves the base to the snapshot at m and drops the entries that it covers.
func (t *termLog) rebase(m mark) {
	t.base = m.index
	if m.reset || t.last <= m.index {
		t.runs, t.last = nil, m.index
		return
	}
	for len(t.runs) > 1 && t.runs[1].first <= m.index+1 {
		t.runs = t.runs[1:]
	}
}

func (t *termLog) clone() *termLog {
	return &termLog{base: t.base, last: t.last, runs: append([]termRun(nil), t.runs...)}
}
