// Package memory counts the memory that a process holds for callers, by class, and bounds it. It does no I/O.
package memory

import "sync"

// Class is what memory is held for.
type Class int

// Classes of memory.
const (
	Connections Class = iota
	Heads
	Bodies
	Responses
	classes
)

// String returns the name of the class, which metrics use.
func (c Class) String() string {
	return [classes]string{"connections", "heads", "bodies", "responses"}[c]
}

// shares are the parts of the limit that are guaranteed to each class, and those that it may not exceed, in hundredths.
var shares = [classes]struct{ guaranteed, ceiling int64 }{
	Connections: {15, 35}, Heads: {20, 50}, Bodies: {30, 60}, Responses: {10, 50},
}

const (
	// largeAcquisition is the size in bytes above which an acquisition leaves a quarter of the ceiling of its class free, so that many
	// large heads or bodies do not crowd out small ones.
	largeAcquisition = 16 << 10
	// minReserve and the fraction 1/reserveDivisor bound from below what the process needs itself: the program, its views and its
	// connections to targets.
	minReserve     = 32 << 20
	reserveDivisor = 4
	// minLimit is the smallest limit that Limit returns. It admits the largest head.
	minLimit = 8 << 20
)

// Budget bounds the memory of all classes together. A nil Budget has no bound. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu    sync.Mutex
	used  [classes]int64
	total int64
}

// New returns a budget of limit bytes, or nil, which has no bound, if limit is not positive.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Limit returns the limit of the budget of a process that may use memory bytes, 0 if memory is not positive. Half of what the process does
// not need itself is left for garbage that has not been collected yet.
func Limit(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(minLimit, (memory-max(minReserve, memory/reserveDivisor))/2)
}

// RuntimeLimit returns the memory limit of the Go runtime in a process that may use memory bytes. The runtime does not count the program
// itself, and exceeds its limit for short times.
func RuntimeLimit(memory int64) int64 { return memory / 5 * 4 }

// TryAcquire counts bytes for a class unless that exceeds the ceiling of the class, or takes memory that is guaranteed to others.
func (b *Budget) TryAcquire(class Class, bytes int64) bool {
	if b == nil || bytes <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	after := b.used[class] + bytes
	ceiling := b.limit * shares[class].ceiling / 100
	if bytes > largeAcquisition {
		ceiling -= ceiling / 4
	}
	if after > ceiling || after < 0 {
		return false
	}
	if after > b.guaranteed(class) {
		reserved := int64(0)
		for other := range classes {
			if other != class {
				reserved += max(0, b.guaranteed(other)-b.used[other])
			}
		}
		if b.total+bytes+reserved > b.limit {
			return false
		}
	}
	b.used[class] = after
	b.total += bytes
	return true
}

func (b *Budget) guaranteed(class Class) int64 { return b.limit * shares[class].guaranteed / 100 }

// Release ends the counting of bytes that were acquired for a class.
func (b *Budget) Release(class Class, bytes int64) {
	if b == nil || bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[class] -= bytes
	b.total -= bytes
}

// Used returns the bytes that are counted for a class.
func (b *Budget) Used(class Class) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[class]
}
