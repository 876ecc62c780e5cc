package target

import (
	"slices"
	"time"
)

// sketchSize is the number of counters per target. A key that uses more than 1/16 of the slot time always has a counter.
const sketchSize = 16

// keyID identifies a key by its hash. The key itself is never stored.
type keyID struct {
	keyspace string
	hash     uint64
}

// keyTime is the estimated slot time of one key.
type keyTime struct {
	id   keyID
	time time.Duration
}

// sketch finds the keys that use the most slot time with the Space-Saving algorithm of Metwally, Agrawal and El Abbadi,
// "Efficient computation of frequent and top-k elements in data streams" (2005): when all counters are in use, a new key
// takes over the smallest counter and its value.
type sketch struct {
	counters []keyTime
}

func (s *sketch) add(id keyID, duration time.Duration) {
	smallest := 0
	for i := range s.counters {
		if s.counters[i].id == id {
			s.counters[i].time += duration
			return
		}
		if s.counters[i].time < s.counters[smallest].time {
			smallest = i
		}
	}
	if len(s.counters) < sketchSize {
		s.counters = append(s.counters, keyTime{id: id, time: duration})
		return
	}
	s.counters[smallest] = keyTime{id: id, time: s.counters[smallest].time + duration}
}

// takeTop returns at most count keys with the most slot time, in descending order, and clears the sketch.
func (s *sketch) takeTop(count int) []keyTime {
	slices.SortFunc(s.counters, func(a, b keyTime) int { return int(b.time - a.time) })
	top := slices.Clone(s.counters[:min(count, len(s.counters))])
	s.counters = s.counters[:0]
	return top
}
