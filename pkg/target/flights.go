package target

import "sync"

// flights are the requests in flight at one target. The slots of a target are few, so a list is enough.
type flights struct {
	mu      sync.Mutex
	works   map[*InFlightRequest]struct{}
	changed chan struct{}
}

func newFlights() *flights {
	return &flights{works: map[*InFlightRequest]struct{}{}, changed: make(chan struct{})}
}

func (f *flights) add(work *InFlightRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.works[work] = struct{}{}
}

func (f *flights) remove(work *InFlightRequest) {
	f.mu.Lock()
	delete(f.works, work)
	f.mu.Unlock()
	f.notify()
}

// notify wakes those that wait for a change.
func (f *flights) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// next returns a channel that closes at the next change.
func (f *flights) next() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *flights) count(matches func(work *InFlightRequest) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for work := range f.works {
		if matches(work) {
			count++
		}
	}
	return count
}
