package suspects

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clearCrashes is the number of crashes from which on a suspect is blocked if nothing else explains them. A target runs several
	// requests when it ends, so that a single crash says little about each of them.
	clearCrashes = 2
	// certainCrashes is the number of crashes from which on a suspect is blocked in any case. Operators accept three crashes by the same
	// request.
	certainCrashes = 3
	// Lifetime is how long after its last known crash a suspect is kept. It exceeds the time in which callers repeat a request by
	// themselves, and bounds how long a request is refused after the targets have been repaired.
	Lifetime = 10 * time.Minute
	// clearBlock is how long a suspect with fewer than certainCrashes is blocked. Coincidences are possible, and a further crash makes
	// it certain.
	clearBlock = time.Minute
	// answerMemory is how long an answer speaks against crashes that become known later. It covers a report of a crash that is lost and sent
	// again. A request that has only now begun to end targets may have been answered before, so it is below the time in which all
	// hosts must know that.
	answerMemory = 2 * time.Second
	// maxAnswers bounds the answers that are remembered.
	maxAnswers = 4096
	// LocalLifetime is how long a crash that this host has observed counts without the confirmation of the registry. It covers an election
	// of its leader and several retries of the report.
	LocalLifetime = 30 * time.Second
	// maxLocal bounds the suspects that the registry has not confirmed yet.
	maxLocal = 256
)

// Suspect has the crashes of the targets that ran requests with the same fingerprint. Crashes are hashes of the starts of targets.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []uint64
}

// Verdict is what is known of a request.
type Verdict int

// Verdicts.
const (
	// Unknown: no target is known to have ended on such a request, or one has answered it since.
	Unknown Verdict = iota
	// Suspected: a target has ended that ran such a request. It may be sent, but not to a second target when it fails.
	Suspected
	// Blocked: several targets have ended on such a request. It must not be sent.
	Blocked
)

// Table is what one entry host knows of suspects. It is safe for concurrent use. All times are relative to the same fixed point.
type Table struct {
	limits limits

	mu      sync.Mutex
	records map[Fingerprint]*record
	// version is that of the view.
	version uint64
	// answers has the last answers.
	answers map[Fingerprint]answer
	// count is the number of records, for a check without the lock.
	count atomic.Int64
}

// limits are the numbers that decide. Tests break them on purpose.
type limits struct {
	clearCrashes, certainCrashes int
	clearBlock, lifetime         time.Duration
	answerMemory                 time.Duration
}

// record is a suspect.
type record struct {
	// replicated are the crashes that the registry knows, local those that only this host does. A local crash has the version of the
	// registry that has it, or 0 while that is not known.
	replicated []uint64
	local      map[uint64]uint64
	// changedAt is when a crash was last added.
	changedAt time.Duration
	blocked   bool
}

func newRecord() *record { return &record{local: map[uint64]uint64{}} }

// answer is the last answer of a target to a request. reported is set if the request was a suspect, of which the registry has been told.
type answer struct {
	at       time.Duration
	reported bool
}

// crashes returns all known crashes.
func (r *record) crashes() []uint64 {
	all := slices.Clone(r.replicated)
	for crash := range r.local {
		if !slices.Contains(all, crash) {
			all = append(all, crash)
		}
	}
	return all
}

// New returns a table without suspects.
func New() *Table {
	return &Table{
		limits:  limits{clearCrashes, certainCrashes, clearBlock, Lifetime, answerMemory},
		records: map[Fingerprint]*record{}, answers: map[Fingerprint]answer{},
	}
}

// IsEmpty reports whether there are no suspects.
func (t *Table) IsEmpty() bool { return t.count.Load() == 0 }

// Verdict returns what is known of a request, and for a blocked one the time until it may be sent again.
func (t *Table) Verdict(now time.Duration, fingerprint Fingerprint) (Verdict, time.Duration) {
	if t.IsEmpty() {
		return Unknown, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if !ok || now-r.changedAt >= t.limits.lifetime {
		return Unknown, 0
	}
	left := r.changedAt + t.limits.clearBlock - now
	if len(r.crashes()) >= t.limits.certainCrashes {
		left = r.changedAt + t.limits.lifetime - now
	}
	if r.blocked && left > 0 {
		return Blocked, left
	}
	return Suspected, 0
}

// AddCrash adds a crash that this host has observed, unless such a request has just been answered. It returns whether it did, and the
// fingerprints that are blocked since.
func (t *Table) AddCrash(now time.Duration, fingerprint Fingerprint, crash uint64) (added bool, blocked []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wasAnswered(now, fingerprint) {
		return false, nil
	}
	r, ok := t.records[fingerprint]
	if !ok {
		if t.localCount() >= maxLocal {
			return false, nil
		}
		r = newRecord()
		t.records[fingerprint] = r
	}
	if _, known := r.local[crash]; !known && !slices.Contains(r.replicated, crash) {
		r.local[crash] = 0
		r.changedAt = now
	}
	return true, t.update()
}

// wasAnswered reports whether such a request has been answered within the last answerMemory. The caller must hold t.mu.
func (t *Table) wasAnswered(now time.Duration, fingerprint Fingerprint) bool {
	last, ok := t.answers[fingerprint]
	return ok && now-last.at < t.limits.answerMemory
}

// localCount returns the number of suspects that only this host knows. The caller must hold t.mu.
func (t *Table) localCount() int {
	count := 0
	for _, r := range t.records {
		if len(r.replicated) == 0 {
			count++
		}
	}
	return count
}

// Answered records that a target has answered such a request. It reports whether it was a suspect, which it no longer is.
func (t *Table) Answered(now time.Duration, fingerprint Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.answers) >= maxAnswers {
		maps.DeleteFunc(t.answers, func(_ Fingerprint, a answer) bool { return now-a.at >= t.limits.answerMemory })
		if len(t.answers) >= maxAnswers {
			clear(t.answers)
		}
	}
	_, ok := t.records[fingerprint]
	t.answers[fingerprint] = answer{now, ok}
	if !ok {
		return false
	}
	delete(t.records, fingerprint)
	t.update()
	return true
}

// Confirm records that the registry has the crash of a suspect from a version on.
func (t *Table) Confirm(fingerprint Fingerprint, crash, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if !ok {
		return
	}
	if _, ok := r.local[crash]; ok {
		r.local[crash] = version
		t.dropConfirmed()
	}
}

// SetVersion records that the view has a version in which the suspects are the same as before.
func (t *Table) SetVersion(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = version
	if len(t.records) > 0 {
		t.dropConfirmed()
	}
}

// dropConfirmed drops the local crashes that the registry has in the version of the view, or no longer has because the suspect has been
// cleared meanwhile. The caller must hold t.mu.
func (t *Table) dropConfirmed() {
	for fingerprint, r := range t.records {
		maps.DeleteFunc(r.local, func(_, version uint64) bool { return version > 0 && version <= t.version })
		if len(r.local) == 0 && len(r.replicated) == 0 {
			delete(t.records, fingerprint)
		}
	}
	t.update()
}

// SetReplicated replaces the suspects that the registry knows by those of a version. It returns the fingerprints that are blocked since, and those that are no
// suspects because such a request has just been answered here.
func (t *Table) SetReplicated(now time.Duration, version uint64, suspects []Suspect) (blocked, cleared []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = version
	listed := make(map[Fingerprint]bool, len(suspects))
	for _, s := range suspects {
		if t.wasAnswered(now, s.Fingerprint) {
			if last := t.answers[s.Fingerprint]; !last.reported {
				cleared = append(cleared, s.Fingerprint)
				t.answers[s.Fingerprint] = answer{last.at, true}
			}
			delete(t.records, s.Fingerprint)
			continue
		}
		listed[s.Fingerprint] = true
		r, ok := t.records[s.Fingerprint]
		if !ok {
			r = newRecord()
			t.records[s.Fingerprint] = r
		}
		if !slices.Equal(r.replicated, s.Crashes) {
			r.changedAt = now
		}
		r.replicated = s.Crashes
		maps.DeleteFunc(r.local, func(crash, _ uint64) bool { return slices.Contains(s.Crashes, crash) })
	}
	for fingerprint := range t.records {
		if !listed[fingerprint] {
			t.records[fingerprint].replicated = nil
		}
	}
	blocked = t.update()
	t.dropConfirmed()
	return blocked, cleared
}

// Expire removes the crashes that the registry has not confirmed within LocalLifetime.
func (t *Table) Expire(now time.Duration) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, r := range t.records {
		if now-r.changedAt < LocalLifetime {
			continue
		}
		if clear(r.local); len(r.replicated) == 0 {
			delete(t.records, fingerprint)
		}
	}
	t.update()
}

// update decides which suspects are blocked, and returns those that were not before. The caller must hold t.mu.
func (t *Table) update() []Fingerprint {
	t.count.Store(int64(len(t.records)))
	// repeated counts, for each crash, the suspects with several crashes that ran at the target.
	repeated := map[uint64]int{}
	for _, r := range t.records {
		if crashes := r.crashes(); len(crashes) >= t.limits.clearCrashes {
			for _, crash := range crashes {
				repeated[crash]++
			}
		}
	}
	var blocked []Fingerprint
	for fingerprint, r := range t.records {
		wasBlocked := r.blocked
		r.blocked = t.limits.block(r.crashes(), repeated)
		if r.blocked && !wasBlocked {
			blocked = append(blocked, fingerprint)
		}
	}
	return blocked
}

// block reports whether a suspect with these crashes is to be blocked. Where another suspect with several crashes ran at the same target,
// either may be the cause of that crash, so that only a further crash decides.
func (l limits) block(crashes []uint64, repeated map[uint64]int) bool {
	if len(crashes) >= l.certainCrashes {
		return true
	}
	if len(crashes) < l.clearCrashes {
		return false
	}
	return !slices.ContainsFunc(crashes, func(crash uint64) bool { return repeated[crash] > 1 })
}
