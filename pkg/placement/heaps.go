package placement

import "container/heap"

// nodeHeap is a heap of nodes. It knows where each node is, so that one whose load changed can be put in its place.
type nodeHeap struct {
	nodes  []*node
	index  map[*node]int
	before func(a, b *node) bool
}

func newNodeHeap(nodes []*node, before func(a, b *node) bool) *nodeHeap {
	h := &nodeHeap{nodes: nodes, index: make(map[*node]int, len(nodes)), before: before}
	for i, n := range nodes {
		h.index[n] = i
	}
	heap.Init(h)
	return h
}

// Len implements heap.Interface.
func (h *nodeHeap) Len() int { return len(h.nodes) }

// Less implements heap.Interface.
func (h *nodeHeap) Less(i, j int) bool { return h.before(h.nodes[i], h.nodes[j]) }

// Swap implements heap.Interface.
func (h *nodeHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.index[h.nodes[i]], h.index[h.nodes[j]] = i, j
}

// Push implements heap.Interface; the heap never grows.
func (h *nodeHeap) Push(any) {}

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	last := h.nodes[len(h.nodes)-1]
	h.nodes = h.nodes[:len(h.nodes)-1]
	delete(h.index, last)
	return last
}

func (h *nodeHeap) first() *node { return h.nodes[0] }

// fix restores the order after the load of n changed; n need not be in the heap.
func (h *nodeHeap) fix(n *node) {
	if i, ok := h.index[n]; ok {
		heap.Fix(h, i)
	}
}

func (h *nodeHeap) dropFirst() { heap.Pop(h) }

// leastFilled orders nodes as receivers, stragglers last.
func leastFilled(a, b *node) bool {
	if a.Straggler != b.Straggler {
		return b.Straggler
	}
	if x, y := a.fillLevel(0), b.fillLevel(0); x != y {
		return x < y
	}
	return a.Name < b.Name
}

// mostUtilised orders nodes as givers.
func mostUtilised(a, b *node) bool {
	if x, y := a.utilisation(), b.utilisation(); x != y {
		return x > y
	}
	return a.Name < b.Name
}
