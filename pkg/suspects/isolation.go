package suspects

import (
	"maps"
	"slices"
	"sync"
)

// Isolation keeps requests that may end a target apart from each other, at different targets. All requests at a target that ends break at
// the same time, and would be sent again to the same next target, so that its end would count against each of them. The zero value is
// ready for use. It is safe for concurrent use.
type Isolation[Choice comparable] struct {
	mu sync.Mutex
	// occupied has the targets of the isolated requests in progress.
	occupied map[Choice]string
}

// Choose calls choose with the targets that run isolated requests, which should be avoided, and occupies the target that it returns until
// Leave. choose returns false if there is no target.
func (i *Isolation[Choice]) Choose(choose func(occupied []string) (choice Choice, target string, ok bool)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	choice, target, ok := choose(slices.Collect(maps.Values(i.occupied)))
	if !ok {
		return
	}
	if i.occupied == nil {
		i.occupied = map[Choice]string{}
	}
	i.occupied[choice] = target
}

// Leave ends the request of a choice, which need not be an isolated one.
func (i *Isolation[Choice]) Leave(choice Choice) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.occupied, choice)
}
