package grants

import (
	"cmp"
	"math"
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// BucketShift is the number of low bits of a key that are shifted out to get its bucket.
	BucketShift = 6
	bucketCount = Keys >> BucketShift
	// rateDecayTime is the time constant with which request rates decay. Busy keys change within seconds.
	rateDecayTime = 1500 * time.Millisecond
	// hotFactor and minHotRate define a hot owner: its request rate is at least hotFactor times the mean rate of the owners, and
	// at least minHotRate requests per second. Two slots serve more than ten requests per second.
	hotFactor  = 2.0
	minHotRate = 8.0
	// maxPartShare is the request rate up to which keys are put into one part when a hot range is split, as a fraction of the mean
	// rate of the owners.
	maxPartShare = 0.4
	// minRateDensity is the request rate per key that a range needs to be moved, as a multiple of the mean rate per key. The cost of
	// a move grows with the number of keys, so a range whose keys are all slightly busy is not worth a move.
	minRateDensity = 4.0
	// maxParts is the maximum number of parts of one split, apart from rounding to whole buckets. No range is split once the mean
	// number of ranges per owner has reached maxRangesPerOwner, because each range is renewed separately.
	maxParts          = 6
	maxRangesPerOwner = 8
	// minMovingRanges is the number of ranges of a service that may move at the same time because of their load, and ownersPerMove the number of
	// owners from which on there may be one more for each. The requests for a range wait while it moves, so most keys have to stay where they are;
	// with hundreds of owners, three moves at a time would take longer than keys stay busy.
	minMovingRanges = 3
	ownersPerMove   = 8
	// overloadUtilization is the share of the slots of an owner that its requests take at the usual latency, from which on it is hot also below
	// minHotRate. Requests that take a third of a second fill two slots at six per second.
	overloadUtilization = 0.7
	// minDetailRate is the request rate of a bucket from which on the requests for its single keys are tracked. The keys of such a bucket may need
	// more than one owner.
	minDetailRate = 4.0
	bucketSize    = 1 << BucketShift
)

// ServiceLoad tracks the load of one service: the request rate of each bucket of keys, and the number and latency of the responses
// of each owner.
type ServiceLoad struct {
	// rates has the requests per second by bucket, as of decayedAt.
	rates     [bucketCount]float64
	decayedAt time.Duration
	// total is the sum of rates at the last decay.
	total float64
	// details has the requests per second by key for the buckets of at least minDetailRate. Keys of other buckets count as equally busy.
	details map[uint32]*[bucketSize]float64
	// responses has the recent responses by owner.
	responses map[string]*responses
}

// AddRequests adds requests for keys of a bucket. An unknown bucket is ignored.
func (s *ServiceLoad) AddRequests(now time.Duration, bucket, count uint32) {
	s.decay(now)
	if bucket < bucketCount {
		s.rates[bucket] += float64(count) / rateDecayTime.Seconds()
	}
}

// AddKeyRequests adds requests for one key. An unknown key is ignored.
func (s *ServiceLoad) AddKeyRequests(now time.Duration, key, count uint32) {
	bucket := key >> BucketShift
	s.AddRequests(now, bucket, count)
	if bucket >= bucketCount {
		return
	}
	detail := s.details[bucket]
	if detail == nil {
		if s.rates[bucket] < minDetailRate {
			return
		}
		if s.details == nil {
			s.details = map[uint32]*[bucketSize]float64{}
		}
		detail = &[bucketSize]float64{}
		s.details[bucket] = detail
	}
	detail[key%bucketSize] += float64(count) / rateDecayTime.Seconds()
}

// decay reduces all rates to what they are at now, and removes owners without recent responses.
func (s *ServiceLoad) decay(now time.Duration) {
	if now <= s.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-s.decayedAt) / float64(rateDecayTime))
	s.total = 0
	for i := range s.rates {
		s.rates[i] *= factor
		s.total += s.rates[i]
	}
	for bucket, detail := range s.details {
		for i := range detail {
			detail[i] *= factor
		}
		if s.rates[bucket] < minDetailRate/2 {
			delete(s.details, bucket)
		}
	}
	s.decayedAt = now
	s.expireResponses(now)
}

// Rate returns the requests per second for the keys from first to last, both included.
func (s *ServiceLoad) Rate(first, last uint32) float64 {
	rate := 0.0
	for bucket := first >> BucketShift; bucket <= last>>BucketShift && bucket < bucketCount; bucket++ {
		low, high := max(first, bucket<<BucketShift), min(last, (bucket+1)<<BucketShift-1)
		rate += s.rates[bucket] * s.shareOfBucket(bucket, low%bucketSize, high%bucketSize)
	}
	return rate
}

// shareOfBucket returns the share of the requests of a bucket that is for its keys from low to high, both included and relative to the
// first key of the bucket.
func (s *ServiceLoad) shareOfBucket(bucket, low, high uint32) float64 {
	bySize := float64(high-low+1) / bucketSize
	detail := s.details[bucket]
	if detail == nil || bySize == 1 {
		return bySize
	}
	covered, total := 0.0, 0.0
	for i, rate := range detail {
		total += rate
		if uint32(i) >= low && uint32(i) <= high {
			covered += rate
		}
	}
	if total <= 0 {
		return bySize
	}
	return covered / total
}

// RangeAction is a split of a key range, or its move away from its owner.
type RangeAction struct {
	Range *schemav1.KeyRange
	// Starts has the first keys of the parts after the first one. It is empty for a move.
	Starts []uint32
}

// NextHotOwnerAction returns the next action that takes load from the owner with the highest request rate for which there is one, or nil if no
// owner has far more requests than the others.
func NextHotOwnerAction(ranges []*schemav1.KeyRange, candidates []Candidate, load *ServiceLoad) *RangeAction {
	preferred, moving := 0, 0
	for _, c := range candidates {
		if !c.LastResort {
			preferred++
		}
	}
	// The requests for a range that moves are no longer a load of its owner.
	rates := map[string]float64{}
	for _, r := range ranges {
		if r.GetState() == schemav1.RangeState_RANGE_STATE_RELEASING {
			moving++
			continue
		}
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			moving++
		}
		rates[r.GetOwner()] += load.Rate(r.GetFirst(), r.GetLast())
	}
	if preferred < 2 || moving >= maxMovingRanges(preferred) {
		return nil
	}
	lowestRate := math.Inf(1)
	for _, c := range candidates {
		if !c.LastResort {
			lowestRate = min(lowestRate, rates[c.GetId()])
		}
	}
	total := load.Rate(0, Keys-1)
	spread := hotOwnerSpread{lowestRate: lowestRate, total: total, mean: total / float64(preferred), maySplit: len(ranges) < maxRangesPerOwner*preferred}
	for _, c := range hotOwners(candidates, rates, spread.mean, load) {
		if action := spread.nextAction(ranges, c.GetId(), rates[c.GetId()], load); action != nil {
			return action
		}
	}
	return nil
}

// maxMovingRanges returns the number of ranges that may move at the same time because of their load, among a number of owners.
func maxMovingRanges(owners int) int { return max(minMovingRanges, owners/ownersPerMove) }

// hotOwners returns the owners that have far more requests than the others, the busiest one first. mean is the mean request rate of an owner.
func hotOwners(candidates []Candidate, rates map[string]float64, mean float64, load *ServiceLoad) []Candidate {
	latency := load.medianLatency(candidates, minMedianResponses)
	var hot []Candidate
	for _, c := range candidates {
		rate := rates[c.GetId()]
		overloaded := rate*latency > overloadUtilization*float64(max(1, c.GetSlots()))
		if rate >= hotFactor*mean && (rate >= minHotRate || overloaded) {
			hot = append(hot, c)
		}
	}
	slices.SortStableFunc(hot, func(a, b Candidate) int { return cmp.Compare(rates[b.GetId()], rates[a.GetId()]) })
	return hot
}

// hotOwnerSpread has what the actions for hot owners of one service depend on: the lowest request rate of the other candidates, the rate of the
// service and its mean rate per owner, and whether further ranges may be split.
type hotOwnerSpread struct {
	lowestRate, total, mean float64
	maySplit                bool
}

// nextAction returns the action for a hot owner with a request rate, or nil if none helps.
func (s hotOwnerSpread) nextAction(ranges []*schemav1.KeyRange, owner string, rate float64, load *ServiceLoad) *RangeAction {
	var owned []*schemav1.KeyRange
	for _, r := range ranges {
		if r.GetOwner() == owner && r.GetState() == schemav1.RangeState_RANGE_STATE_ACTIVE {
			owned = append(owned, r)
		}
	}
	slices.SortFunc(owned, func(a, b *schemav1.KeyRange) int {
		return cmp.Compare(load.Rate(b.GetFirst(), b.GetLast()), load.Rate(a.GetFirst(), a.GetLast()))
	})
	for _, r := range owned {
		rangeRate := load.Rate(r.GetFirst(), r.GetLast())
		if s.maySplit && rangeRate > 2*maxPartShare*s.mean {
			if starts := splitPoints(r, load, maxPartShare*s.mean); len(starts) > 0 {
				return &RangeAction{Range: r, Starts: starts}
			}
		}
		// After the move, both owners must have a clearly lower rate than the hot owner has now.
		dense := rangeRate/float64(rangeSize(r)) >= minRateDensity*s.total/Keys
		if dense && s.lowestRate+rangeRate < rate-rangeRate/2 {
			return &RangeAction{Range: r}
		}
	}
	return nil
}

// splitPoints divides a range into parts of about limit requests per second, at the boundaries of buckets or, within buckets that have more
// requests than that, of keys. It returns the first keys of the parts after the first one.
func splitPoints(r *schemav1.KeyRange, load *ServiceLoad, limit float64) []uint32 {
	limit = max(limit, load.Rate(r.GetFirst(), r.GetLast())/maxParts)
	var starts []uint32
	part := 0.0
	add := func(first, last uint32) {
		rate := load.Rate(first, last)
		if part > 0 && part+rate > limit && first > r.GetFirst() {
			starts = append(starts, first)
			part = 0
		}
		part += rate
	}
	for bucket := r.GetFirst() >> BucketShift; bucket <= r.GetLast()>>BucketShift; bucket++ {
		low, high := max(r.GetFirst(), bucket<<BucketShift), min(r.GetLast(), (bucket+1)<<BucketShift-1)
		if load.details[bucket] == nil || load.Rate(low, high) <= limit {
			add(low, high)
			continue
		}
		for key := low; key <= high; key++ {
			add(key, key)
		}
	}
	return starts
}
