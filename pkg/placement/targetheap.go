package placement

import "container/heap"

// targetHeap is a binary heap of targets with the position of each, so that fix can reorder a target whose load changed.
type targetHeap struct {
	targets []*plannedTarget
	index   map[*plannedTarget]int
	before  func(a, b *plannedTarget) bool
}

func newTargetHeap(targets []*plannedTarget, before func(a, b *plannedTarget) bool) *targetHeap {
	h := &targetHeap{targets: targets, index: make(map[*plannedTarget]int, len(targets)), before: before}
	for i, target := range targets {
		h.index[target] = i
	}
	heap.Init(h)
	return h
}

// Len implements heap.Interface.
func (h *targetHeap) Len() int { return len(h.targets) }

// Less implements heap.Interface.
func (h *targetHeap) Less(i, j int) bool { return h.before(h.targets[i], h.targets[j]) }

// Swap implements heap.Interface.
func (h *targetHeap) Swap(i, j int) {
	h.targets[i], h.targets[j] = h.targets[j], h.targets[i]
	h.index[h.targets[i]], h.index[h.targets[j]] = i, j
}

// Push implements heap.Interface; the heap never grows.
func (h *targetHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *targetHeap) Pop() any {
	last := h.targets[len(h.targets)-1]
	h.targets = h.targets[:len(h.targets)-1]
	delete(h.index, last)
	return last
}

// best returns the target that is first by the heap's order; the heap must not be empty.
func (h *targetHeap) best() *plannedTarget { return h.targets[0] }

// fix restores the heap order after the load of target changed. It does nothing if target is not in the heap.
func (h *targetHeap) fix(target *plannedTarget) {
	if i, ok := h.index[target]; ok {
		heap.Fix(h, i)
	}
}

// removeBest removes the target that best returns.
func (h *targetHeap) removeBest() { heap.Pop(h) }

// leastFilled orders receivers by ascending fill level, stragglers after all others.
func leastFilled(a, b *plannedTarget) bool {
	if a.Straggler != b.Straggler {
		return b.Straggler
	}
	if x, y := a.fillLevel(0), b.fillLevel(0); x != y {
		return x < y
	}
	return a.Name < b.Name
}

// mostUtilised orders donors by descending utilisation.
func mostUtilised(a, b *plannedTarget) bool {
	if x, y := a.utilisation(), b.utilisation(); x != y {
		return x > y
	}
	return a.Name < b.Name
}
