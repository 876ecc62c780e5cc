package grants

import (
	"math"
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// minResponseDecayTime is the time constant of the mean latency of an owner. It covers several speed changes of the machines that
	// targets share, which happen several times a second. Where owners get few requests it is longer, up to maxResponseDecayTime, so that a usual
	// owner has typicalResponses recent ones: with a fixed time, no owner of a service with two requests per second for each was ever found slow.
	minResponseDecayTime = 2500 * time.Millisecond
	maxResponseDecayTime = 10 * time.Second
	typicalResponses     = 12.0
	// minResponses is the number of recent responses from which the mean latency of an owner is used. The standard deviation of single
	// latencies is about their mean.
	minResponses = 8.0
	// minMedianResponses is the number of recent responses of an owner from which its mean latency counts in the median of many owners.
	minMedianResponses = 2.0
	// slowFactor is the mean latency of an owner, relative to the median of all owners, from which on keys move away from it.
	slowFactor = 1.6
	// slowMoveInterval is the minimum time between two moves from slow owners that involve the same owner as source or destination.
	// Its responses must first show the effect of the previous move.
	slowMoveInterval = 2 * time.Second
	// maxLoadRatio is the load that the next owner may have after a move, as a fraction of the load of the slow owner before it. Load
	// here is the request rate weighted by relative latency.
	maxLoadRatio = 0.6
	// minRelativeLatency and maxRelativeLatency bound the latency of one owner relative to the median.
	minRelativeLatency = 0.4
	maxRelativeLatency = 4.0
)

// responses sums up the recent responses of one owner.
type responses struct {
	// count is the number of responses and total the sum of their latencies in seconds. Both decay with ServiceLoad.responseDecayTime.
	count, total float64
	decayedAt    time.Duration
}

// decay reduces count and total to what they are at now.
func (r *responses) decay(now, decayTime time.Duration) {
	if now > r.decayedAt {
		factor := math.Exp(-float64(now-r.decayedAt) / float64(decayTime))
		r.count, r.total, r.decayedAt = r.count*factor, r.total*factor, now
	}
}

// AddResponses adds count responses of an owner whose latencies have the sum total.
func (s *ServiceLoad) AddResponses(now time.Duration, owner string, count uint32, total time.Duration) {
	if s.responses == nil {
		s.responses = map[string]*responses{}
	}
	r := s.responses[owner]
	if r == nil {
		r = &responses{decayedAt: now}
		s.responses[owner] = r
	}
	r.decay(now, s.responseDecayTime())
	r.count += float64(count)
	r.total += total.Seconds()
}

// responseDecayTime returns the time constant of the mean latencies.
func (s *ServiceLoad) responseDecayTime() time.Duration {
	if s.total <= 0 {
		return minResponseDecayTime
	}
	perResponse := float64(time.Second) * float64(len(s.responses)) / s.total
	return time.Duration(min(max(typicalResponses*perResponse, float64(minResponseDecayTime)), float64(maxResponseDecayTime)))
}

// expireResponses removes owners without recent responses.
func (s *ServiceLoad) expireResponses(now time.Duration) {
	decayTime := s.responseDecayTime()
	for owner, r := range s.responses {
		if r.decay(now, decayTime); r.count < 1/minResponses {
			delete(s.responses, owner)
		}
	}
}

// relativeLatencies returns the mean latency of each candidate relative to the median of all of them, or 1 where it is not known.
func (s *ServiceLoad) relativeLatencies(candidates []Candidate) map[string]float64 {
	relativeLatencies := map[string]float64{}
	median := s.medianLatency(candidates, minResponses)
	for _, c := range candidates {
		relativeLatencies[c.GetId()] = 1
		if r := s.responsesOf(c.GetId()); r != nil && median > 0 {
			relativeLatencies[c.GetId()] = min(max(r.total/r.count/median, minRelativeLatency), maxRelativeLatency)
		}
	}
	return relativeLatencies
}

// medianLatency returns the median of the mean latencies in seconds of the candidates with at least minCount recent responses, or 0 if there
// are fewer than two of them.
func (s *ServiceLoad) medianLatency(candidates []Candidate, minCount float64) float64 {
	if s == nil {
		return 0
	}
	var known []float64
	for _, c := range candidates {
		if r := s.responses[c.GetId()]; r != nil && r.count >= minCount {
			known = append(known, r.total/r.count)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// responsesOf returns the recent responses of an owner, or nil if there are fewer than minResponses.
func (s *ServiceLoad) responsesOf(owner string) *responses {
	if s == nil || s.responses[owner] == nil || s.responses[owner].count < minResponses {
		return nil
	}
	return s.responses[owner]
}

// NextSlowOwnerMove returns a range that should move away from an owner whose responses take far longer than those of the others, or
// nil. mayMove reports whether an owner may be the source or destination of a move again; see slowMoveInterval.
func NextSlowOwnerMove(
	ranges []*schemav1.KeyRange, candidates []Candidate, load *ServiceLoad, mayMove func(owner string) bool,
) *schemav1.KeyRange {
	relativeLatencies := load.relativeLatencies(candidates)
	slowest := ""
	for _, c := range candidates {
		id := c.GetId()
		if relativeLatencies[id] >= slowFactor && mayMove(id) && (slowest == "" || relativeLatencies[id] > relativeLatencies[slowest]) {
			slowest = id
		}
	}
	if slowest == "" {
		return nil
	}
	owned := rangesOwnedBy(ranges, slowest)
	next := Owner(ranges, candidates, slowest, load)
	if next == nil || len(owned) < 2 || !mayMove(next.GetId()) {
		return nil
	}
	limit := maxLoadRatio * load.responseRate(slowest) * relativeLatencies[slowest]
	nextRate := load.responseRate(next.GetId())
	var best *schemav1.KeyRange
	bestRate := 0.0
	for _, r := range owned {
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			return nil
		}
		rangeRate := load.Rate(r.GetFirst(), r.GetLast())
		if rangeRate > bestRate && (nextRate+rangeRate)*relativeLatencies[next.GetId()] < limit {
			best, bestRate = r, rangeRate
		}
	}
	return best
}

func rangesOwnedBy(ranges []*schemav1.KeyRange, owner string) []*schemav1.KeyRange {
	var owned []*schemav1.KeyRange
	for _, r := range ranges {
		if r.GetOwner() == owner {
			owned = append(owned, r)
		}
	}
	return owned
}

func (s *ServiceLoad) totalRate(ranges []*schemav1.KeyRange) float64 {
	rate := 0.0
	for _, r := range ranges {
		rate += s.Rate(r.GetFirst(), r.GetLast())
	}
	return rate
}

// responseRate returns the responses per second of an owner. This varies less than the rate of requests for its keys.
func (s *ServiceLoad) responseRate(owner string) float64 {
	if r := s.responses[owner]; r != nil {
		return r.count / s.responseDecayTime().Seconds()
	}
	return 0
}

// weightedRate returns the request rate of an owner multiplied by its relative latency.
func (s *ServiceLoad) weightedRate(ranges []*schemav1.KeyRange, candidates []Candidate, owner string) float64 {
	return s.totalRate(rangesOwnedBy(ranges, owner)) * s.relativeLatencies(candidates)[owner]
}
