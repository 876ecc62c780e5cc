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
	// maxMovingRanges is the number of ranges of a service that may move at the same time because of their load.
	maxMovingRanges = 3
)

// ServiceLoad tracks the load of one service: the request rate of each bucket of keys, and the number and latency of the responses
// of each owner.
type ServiceLoad struct {
	// rates has the requests per second by bucket, as of decayedAt.
	rates     [bucketCount]float64
	decayedAt time.Duration
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

// decay reduces all rates to what they are at now, and removes owners without recent responses.
func (s *ServiceLoad) decay(now time.Duration) {
	if now <= s.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-s.decayedAt) / float64(rateDecayTime))
	for i := range s.rates {
		s.rates[i] *= factor
	}
	s.decayedAt = now
	s.expireResponses(now)
}

// Rate returns the requests per second for the keys from first to last, both included. A bucket that is only partly covered counts
// with the covered fraction.
func (s *ServiceLoad) Rate(first, last uint32) float64 {
	rate := 0.0
	for bucket := first >> BucketShift; bucket <= last>>BucketShift && bucket < bucketCount; bucket++ {
		low, high := max(first, bucket<<BucketShift), min(last, (bucket+1)<<BucketShift-1)
		rate += s.rates[bucket] * float64(high-low+1) / (1 << BucketShift)
	}
	return rate
}

// RangeAction is a split of a key range, or its move away from its owner.
type RangeAction struct {
	Range *schemav1.KeyRange
	// Starts has the first keys of the parts after the first one. It is empty for a move.
	Starts []uint32
}

// NextHotOwnerAction returns the next action that takes load from the owner with the highest request rate, or nil if no owner has
// far more requests than the others.
func NextHotOwnerAction(ranges []*schemav1.KeyRange, candidates []Candidate, load *ServiceLoad) *RangeAction {
	preferred, moving := 0, 0
	for _, c := range candidates {
		if !c.LastResort {
			preferred++
		}
	}
	rates := map[string]float64{}
	for _, r := range ranges {
		rates[r.GetOwner()] += load.Rate(r.GetFirst(), r.GetLast())
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			moving++
		}
	}
	if preferred < 2 || moving >= maxMovingRanges {
		return nil
	}
	total := load.Rate(0, Keys-1)
	mean := total / float64(preferred)
	busiest, lowestRate := "", math.Inf(1)
	for _, c := range candidates {
		if busiest == "" || rates[c.GetId()] > rates[busiest] {
			busiest = c.GetId()
		}
		if !c.LastResort {
			lowestRate = min(lowestRate, rates[c.GetId()])
		}
	}
	if rates[busiest] < minHotRate || rates[busiest] < hotFactor*mean {
		return nil
	}
	return hotOwnerAction(ranges, busiest, rates[busiest], lowestRate, total, mean, load, len(ranges) < maxRangesPerOwner*preferred)
}

// hotOwnerAction returns the action for a hot owner, or nil if none helps. rate is the request rate of the owner, lowestRate the lowest
// rate of the other candidates, total the rate of the service and mean its mean rate per owner.
func hotOwnerAction(
	ranges []*schemav1.KeyRange, owner string, rate, lowestRate, total, mean float64, load *ServiceLoad, maySplit bool,
) *RangeAction {
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
		if maySplit && rangeRate > 2*maxPartShare*mean {
			if starts := splitPoints(r, load, maxPartShare*mean); len(starts) > 0 {
				return &RangeAction{Range: r, Starts: starts}
			}
		}
		// After the move, both owners must have a clearly lower rate than the hot owner has now.
		dense := rangeRate/float64(rangeSize(r)) >= minRateDensity*total/Keys
		if dense && lowestRate+rangeRate < rate-rangeRate/2 {
			return &RangeAction{Range: r}
		}
	}
	return nil
}

// splitPoints divides a range at bucket boundaries into parts of about limit requests per second. It returns the first keys of the
// parts after the first one.
func splitPoints(r *schemav1.KeyRange, load *ServiceLoad, limit float64) []uint32 {
	limit = max(limit, load.Rate(r.GetFirst(), r.GetLast())/maxParts)
	var starts []uint32
	part := 0.0
	for bucket := r.GetFirst() >> BucketShift; bucket <= r.GetLast()>>BucketShift; bucket++ {
		boundary := bucket << BucketShift
		bucketRate := load.Rate(max(boundary, r.GetFirst()), min(boundary+1<<BucketShift-1, r.GetLast()))
		if part > 0 && part+bucketRate > limit && boundary > r.GetFirst() {
			starts = append(starts, boundary)
			part = 0
		}
		part += bucketRate
	}
	return starts
}
