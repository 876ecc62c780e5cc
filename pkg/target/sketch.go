package target

import (
	"slices"
	"time"
)

// sketchSize bounds the counters per target. A key that uses more than 1/16 of the time is certainly among them.
const sketchSize = 16

// keyID identifies a key by its hash; a key's name is never kept.
type keyID struct {
	keyspace string
	hash     uint64
}

// keyTime is the slot time of one key.
type keyTime struct {
	id   keyID
	time time.Duration
}

// sketch finds the keys that use most slot time, after Metwally, Agrawal and El Abbadi, "Efficient computation of
// frequent and top-k elements in data streams" (2005): a new key takes over the smallest counter.
type sketch struct {
	counters []keyTime
}

func (s *sketch) add(id keyID, took time.Duration) {
	smallest := 0
	for i := range s.counters {
		if s.counters[i].id == id {
			s.counters[i].time += took
			return
		}
		if s.counters[i].time < s.counters[smallest].time {
			smallest = i
		}
	}
	if len(s.counters) < sketchSize {
		s.counters = append(s.counters, keyTime{id: id, time: took})
		return
	}
	s.counters[smallest] = keyTime{id: id, time: s.counters[smallest].time + took}
}

// takeTop returns at most count keys with the most time and starts again.
func (s *sketch) takeTop(count int) []keyTime {
	slices.SortFunc(s.counters, func(a, b keyTime) int { return int(b.time - a.time) })
	top := slices.Clone(s.counters[:min(count, len(s.counters))])
	s.counters = s.counters[:0]
	return top
}
