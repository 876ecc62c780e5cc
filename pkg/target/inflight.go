package target

import "sync"

// inFlightRequests is the set of the requests in flight at one target. Targets have few slots, so counting by iteration is
// fast enough.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*InFlightRequest]struct{}
	changed  chan struct{}
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{requests: map[*InFlightRequest]struct{}{}, changed: make(chan struct{})}
}

func (f *inFlightRequests) add(request *InFlightRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[request] = struct{}{}
}

func (f *inFlightRequests) remove(request *InFlightRequest) {
	f.mu.Lock()
	delete(f.requests, request)
	f.mu.Unlock()
	f.notify()
}

// notify wakes the goroutines that wait for a change.
func (f *inFlightRequests) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (f *inFlightRequests) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *inFlightRequests) count(matches func(request *InFlightRequest) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for request := range f.requests {
		if matches(request) {
			count++
		}
	}
	return count
}
