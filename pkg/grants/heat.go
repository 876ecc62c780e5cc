package grants

import (
	"cmp"
	"math"
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// BucketShift is the number of low bits of a key that its bucket leaves out.
	BucketShift = 6
	buckets     = Keys >> BucketShift
	// heatMemory is the time constant of the rates: busy keys change within seconds.
	heatMemory = 1500 * time.Millisecond
	// hotFactor is by how much the rate of an owner must be above the mean for its keys to be spread, and hotRate the least rate
	// in requests per second: two slots serve more than ten.
	hotFactor = 2.0
	hotRate   = 8.0
	// partShare is the part of the mean rate of an owner that a part of a hot range may have.
	partShare = 0.4
	// density is by how much the requests of a key must be above the mean for its range to move: moves are paid for by the
	// number of keys, and keys that are all a little busy are better left.
	density = 4.0
	// maxParts bounds the parts of one split, and maxRanges the ranges of one owner on average: each is renewed by itself.
	maxParts  = 6
	maxRanges = 8
	// maxMoving bounds the ranges that move for their load at once.
	maxMoving = 3
)

// ServiceLoad has the rates of requests of one service by buckets of keys, in requests per second.
type ServiceLoad struct {
	rates [buckets]float64
	at    time.Duration
	// answers has the answers by owner.
	answers map[string]*answers
}

// AddRequests counts requests for keys of a bucket.
func (h *ServiceLoad) AddRequests(now time.Duration, bucket, count uint32) {
	h.decay(now)
	if bucket < buckets {
		h.rates[bucket] += float64(count) / heatMemory.Seconds()
	}
}

func (h *ServiceLoad) decay(now time.Duration) {
	if now <= h.at {
		return
	}
	factor := math.Exp(-float64(now-h.at) / float64(heatMemory))
	for i := range h.rates {
		h.rates[i] *= factor
	}
	h.at = now
	h.forgetAnswers(now)
}

// Rate is the rate of the keys from first to last. A bucket in part counts in part.
func (h *ServiceLoad) Rate(first, last uint32) float64 {
	rate := 0.0
	for bucket := first >> BucketShift; bucket <= last>>BucketShift && bucket < buckets; bucket++ {
		low, high := max(first, bucket<<BucketShift), min(last, (bucket+1)<<BucketShift-1)
		rate += h.rates[bucket] * float64(high-low+1) / (1 << BucketShift)
	}
	return rate
}

// RangeAction is the next step to spread the requests of the busiest owner: a split of a range, or a move.
type RangeAction struct {
	Range *schemav1.KeyRange
	// Starts are the first keys of the parts after the first; empty for a move.
	Starts []uint32
}

// NextHotOwnerAction returns the next step, or nil when no owner has far more requests than the others.
func NextHotOwnerAction(ranges []*schemav1.KeyRange, candidates []Candidate, heat *ServiceLoad) *RangeAction {
	fit, moving := 0, 0
	for _, c := range candidates {
		if !c.LastResort {
			fit++
		}
	}
	rates := map[string]float64{}
	for _, r := range ranges {
		rates[r.GetOwner()] += heat.Rate(r.GetFirst(), r.GetLast())
		if r.GetState() != schemav1.RangeState_RANGE_STATE_ACTIVE {
			moving++
		}
	}
	if fit < 2 || moving >= maxMoving {
		return nil
	}
	total := heat.Rate(0, Keys-1)
	mean := total / float64(fit)
	busiest, coolest := "", math.Inf(1)
	for _, c := range candidates {
		if busiest == "" || rates[c.GetId()] > rates[busiest] {
			busiest = c.GetId()
		}
		if !c.LastResort {
			coolest = min(coolest, rates[c.GetId()])
		}
	}
	if rates[busiest] < hotRate || rates[busiest] < hotFactor*mean {
		return nil
	}
	return spreadOwner(ranges, busiest, rates[busiest], coolest, total, mean, heat, len(ranges) < maxRanges*fit)
}

func spreadOwner(ranges []*schemav1.KeyRange, owner string, rate, coolest, total, mean float64, heat *ServiceLoad, maySplit bool) *RangeAction {
	var own []*schemav1.KeyRange
	for _, r := range ranges {
		if r.GetOwner() == owner && r.GetState() == schemav1.RangeState_RANGE_STATE_ACTIVE {
			own = append(own, r)
		}
	}
	slices.SortFunc(own, func(a, b *schemav1.KeyRange) int {
		return cmp.Compare(heat.Rate(b.GetFirst(), b.GetLast()), heat.Rate(a.GetFirst(), a.GetLast()))
	})
	for _, r := range own {
		of := heat.Rate(r.GetFirst(), r.GetLast())
		if maySplit && of > 2*partShare*mean {
			if starts := cuts(r, heat, partShare*mean); len(starts) > 0 {
				return &RangeAction{Range: r, Starts: starts}
			}
		}
		// A move must leave both owners below what the busiest has now.
		dense := of/float64(size(r)) >= density*total/Keys
		if dense && coolest+of < rate-of/2 {
			return &RangeAction{Range: r}
		}
	}
	return nil
}

// cuts divides a range at borders of buckets into parts of about limit requests a second.
func cuts(r *schemav1.KeyRange, heat *ServiceLoad, limit float64) []uint32 {
	limit = max(limit, heat.Rate(r.GetFirst(), r.GetLast())/maxParts)
	var starts []uint32
	part := 0.0
	for bucket := r.GetFirst() >> BucketShift; bucket <= r.GetLast()>>BucketShift; bucket++ {
		border := bucket << BucketShift
		of := heat.Rate(max(border, r.GetFirst()), min(border+1<<BucketShift-1, r.GetLast()))
		if part > 0 && part+of > limit && border > r.GetFirst() {
			starts = append(starts, border)
			part = 0
		}
		part += of
	}
	return starts
}
