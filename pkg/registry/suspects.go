package registry

import (
	"bytes"
	"maps"
	"slices"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxSuspects bounds the suspects that are kept. The loss of a data centre with hundreds of targets makes suspects of all requests that
	// ran there; those with a single crash are dropped first.
	maxSuspects = 512
	// maxCrashes is the number of crashes that are kept for each suspect. Three decide on the suspect itself; the others show that the
	// requests that ran beside it did not cause them. Requests that are on their way when a suspect is blocked add a few.
	maxCrashes = 8
	// maxFingerprintSize is the size of the longest fingerprint in bytes that is kept.
	maxFingerprintSize = 32
	// maxSuspectChanges is the number of changes up to which views get only the changed suspects.
	maxSuspectChanges = 1024
)

// suspectTable has the suspects of the replicated state. The zero value is ready for use.
type suspectTable struct {
	// ordered has the suspects in the order of their last crash, so that all members drop the same ones.
	ordered []*schemav1.Suspect
	// changes has the changed fingerprints in the order of their versions, except those up to reset. A view older than that gets all
	// suspects.
	changes []suspectChange
	reset   uint64
}

// suspectChange is the change of a suspect at a version.
type suspectChange struct {
	version     uint64
	fingerprint string
}

// find returns the index of the suspect with a fingerprint, or -1.
func (t *suspectTable) find(fingerprint []byte) int {
	return slices.IndexFunc(t.ordered, func(s *schemav1.Suspect) bool { return bytes.Equal(s.GetFingerprint(), fingerprint) })
}

// apply applies a change and reports whether it changed anything.
func (t *suspectTable) apply(change *schemav1.SuspectChange, version uint64) bool {
	applied := false
	for _, crashed := range change.GetCrashed() {
		applied = t.addCrashes(crashed, version) || applied
	}
	for _, fingerprint := range change.GetCleared() {
		applied = t.remove(t.find(fingerprint), version) || applied
	}
	for _, expired := range change.GetExpired() {
		if at := t.find(expired.GetFingerprint()); at >= 0 && slices.Equal(t.ordered[at].GetCrashes(), expired.GetCrashes()) {
			applied = t.remove(at, version) || applied
		}
	}
	return applied
}

// addCrashes adds crashes to a new or known suspect.
func (t *suspectTable) addCrashes(crashed *schemav1.Suspect, version uint64) bool {
	if length := len(crashed.GetFingerprint()); length == 0 || length > maxFingerprintSize {
		return false
	}
	// Views may hold the current suspect, so it is replaced instead of modified.
	next := &schemav1.Suspect{Fingerprint: crashed.GetFingerprint()}
	at := t.find(crashed.GetFingerprint())
	if at >= 0 {
		next.Crashes = slices.Clone(t.ordered[at].GetCrashes())
	}
	known := len(next.Crashes)
	for _, crash := range crashed.GetCrashes() {
		if len(next.Crashes) < maxCrashes && !slices.Contains(next.Crashes, crash) {
			next.Crashes = append(next.Crashes, crash)
		}
	}
	if len(next.Crashes) == known {
		return false
	}
	if at >= 0 {
		t.ordered = slices.Delete(t.ordered, at, at+1)
	}
	t.ordered = append(t.ordered, next)
	t.record(next.GetFingerprint(), version)
	if len(t.ordered) > maxSuspects {
		weakest := slices.IndexFunc(t.ordered, func(s *schemav1.Suspect) bool { return len(s.GetCrashes()) == 1 })
		t.remove(max(0, weakest), version)
	}
	return true
}

// remove removes the suspect at an index, and reports whether there is one.
func (t *suspectTable) remove(at int, version uint64) bool {
	if at < 0 {
		return false
	}
	t.record(t.ordered[at].GetFingerprint(), version)
	t.ordered = slices.Delete(t.ordered, at, at+1)
	return true
}

// record records the change of a suspect.
func (t *suspectTable) record(fingerprint []byte, version uint64) {
	if len(t.changes) >= maxSuspectChanges {
		half := len(t.changes) / 2
		t.reset = t.changes[half-1].version
		t.changes = slices.Clone(t.changes[half:])
	}
	t.changes = append(t.changes, suspectChange{version, string(fingerprint)})
}

// changedSince returns the suspects that changed after a version. all is set if these are all suspects.
func (t *suspectTable) changedSince(version uint64, full bool) (changed []*schemav1.Suspect, all bool) {
	if full || t.reset > version {
		return slices.Clone(t.ordered), true
	}
	listed := map[string]bool{}
	for _, change := range t.changes {
		if change.version <= version || listed[change.fingerprint] {
			continue
		}
		listed[change.fingerprint] = true
		if at := t.find([]byte(change.fingerprint)); at >= 0 {
			changed = append(changed, t.ordered[at])
		} else {
			changed = append(changed, &schemav1.Suspect{Fingerprint: []byte(change.fingerprint)})
		}
	}
	return changed, false
}

// MergeSuspects returns the suspects of a view, by fingerprint, after an update.
func MergeSuspects(known map[string]*schemav1.Suspect, update *schemav1.ViewUpdate) map[string]*schemav1.Suspect {
	if !update.GetAllSuspects() && len(update.GetSuspects()) == 0 {
		return known
	}
	merged := map[string]*schemav1.Suspect{}
	if !update.GetAllSuspects() {
		maps.Copy(merged, known)
	}
	for _, s := range update.GetSuspects() {
		if len(s.GetCrashes()) == 0 {
			delete(merged, string(s.GetFingerprint()))
			continue
		}
		merged[string(s.GetFingerprint())] = s
	}
	return merged
}

// Suspects returns all suspects in the order of their last crash.
func (s *State) Suspects() []*schemav1.Suspect {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.suspects.ordered)
}
