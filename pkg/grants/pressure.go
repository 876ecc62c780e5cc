package grants

import (
	"math"
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// answerMemory is the time constant of the owners' times to answer. It covers several changes of speed of the machines
	// that targets share, which come several times a second.
	answerMemory = 2500 * time.Millisecond
	// leastAnswers is the number of remembered answers from which an owner's time to answer is taken as known: single times vary by
	// about their mean.
	leastAnswers = 8.0
	// slowFactor is by how much the time to answer of an owner must be above the median for keys to move away from it.
	slowFactor = 1.6
	// shiftPause is the time after a move for the load of a slow owner, from or to it, before its next: its answers must first show
	// the effect.
	shiftPause = 2 * time.Second
	// gain is the part of the pressure of a slow owner that the next owner may have with the moved keys.
	gain = 0.6
	// leastPace and mostPace bound the time to answer of one owner relative to the others.
	leastPace = 0.4
	mostPace  = 4.0
)

// answers are the answers of one owner.
type answers struct {
	count, total float64
	at           time.Duration
}

func (a *answers) decay(now time.Duration) {
	if now > a.at {
		factor := math.Exp(-float64(now-a.at) / float64(answerMemory))
		a.count, a.total, a.at = a.count*factor, a.total*factor, now
	}
}

// AddResponses counts answers of an owner, with the sum of the times until them.
func (h *ServiceLoad) AddResponses(now time.Duration, owner string, count uint32, total time.Duration) {
	if h.answers == nil {
		h.answers = map[string]*answers{}
	}
	a := h.answers[owner]
	if a == nil {
		a = &answers{at: now}
		h.answers[owner] = a
	}
	a.decay(now)
	a.count += float64(count)
	a.total += total.Seconds()
}

// forgetAnswers drops owners without recent answers.
func (h *ServiceLoad) forgetAnswers(now time.Duration) {
	for owner, a := range h.answers {
		if a.decay(now); a.count < 1/leastAnswers {
			delete(h.answers, owner)
		}
	}
}

// paces returns the time to answer of each candidate relative to their median; 1 where it is not known.
func (h *ServiceLoad) paces(candidates []Candidate) map[string]float64 {
	paces := map[string]float64{}
	var known []float64
	for _, c := range candidates {
		paces[c.GetId()] = 1
		if a := h.answersOf(c.GetId()); a != nil {
			known = append(known, a.total/a.count)
		}
	}
	if len(known) < 2 {
		return paces
	}
	slices.Sort(known)
	median := known[len(known)/2]
	for _, c := range candidates {
		if a := h.answersOf(c.GetId()); a != nil {
			paces[c.GetId()] = min(max(a.total/a.count/median, leastPace), mostPace)
		}
	}
	return paces
}

// answersOf returns the answers of an owner if there are enough of them.
func (h *ServiceLoad) answersOf(owner string) *answers {
	if h == nil || h.answers[owner] == nil || h.answers[owner].count < leastAnswers {
		return nil
	}
	return h.answers[owner]
}

// NextSlowOwnerMove returns a range that should move away from an owner that takes far longer to answer than the others, or nil. rested
// reports whether an owner has not taken part in such a move for a while.
func NextSlowOwnerMove(ranges []*schemav1.KeyRange, candidates []Candidate, heat *ServiceLoad, rested func(owner string) bool) *schemav1.KeyRange {
	paces := heat.paces(candidates)
	slowest := ""
	for _, c := range candidates {
		id := c.GetId()
		if paces[id] >= slowFactor && rested(id) && (slowest == "" || paces[id] > paces[slowest]) {
			slowest = id
		}
	}
	if slowest == "" {
		return nil
	}
	own := rangesOf(ranges, slowest)
	next := Owner(ranges, candidates, slowest, heat)
	if next == nil || len(own) < 2 || !rested(next.GetId()) {
		return nil
	}
	limit := gain * heat.answerRate(slowest) * paces[slowest]
	nextRate := heat.answerRate(next.GetId())
	var best *schemav1.KeyRange
	bestRate := 0.0
	for _, r := range own {
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			return nil
		}
		of := heat.Rate(r.GetFirst(), r.GetLast())
		if of > bestRate && (nextRate+of)*paces[next.GetId()] < limit {
			best, bestRate = r, of
		}
	}
	return best
}

func rangesOf(ranges []*schemav1.KeyRange, owner string) []*schemav1.KeyRange {
	var own []*schemav1.KeyRange
	for _, r := range ranges {
		if r.GetOwner() == owner {
			own = append(own, r)
		}
	}
	return own
}

func (h *ServiceLoad) rateOf(ranges []*schemav1.KeyRange) float64 {
	rate := 0.0
	for _, r := range ranges {
		rate += h.Rate(r.GetFirst(), r.GetLast())
	}
	return rate
}

// answerRate is the rate of answers of an owner, which varies less than that of requests for its keys, in answers per second.
func (h *ServiceLoad) answerRate(owner string) float64 {
	if a := h.answers[owner]; a != nil {
		return a.count / answerMemory.Seconds()
	}
	return 0
}

// pressure is the rate of an owner's requests, weighted by how long it takes to answer them.
func (h *ServiceLoad) pressure(ranges []*schemav1.KeyRange, candidates []Candidate, owner string) float64 {
	return h.rateOf(rangesOf(ranges, owner)) * h.paces(candidates)[owner]
}
