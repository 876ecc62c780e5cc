package limit

import (
	"container/heap"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// classCount is the size of arrays that are indexed by request class; index 0 is unused.
const classCount = int(schemav1.RequestClass_REQUEST_CLASS_FILE) + 1

// normalise maps unset and unknown classes to the first class, because a route without a class is a lookup.
func normalise(class schemav1.RequestClass) schemav1.RequestClass {
	if class <= schemav1.RequestClass_REQUEST_CLASS_UNSPECIFIED || int(class) >= classCount {
		return schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE
	}
	return class
}

// waiter is a request in the queue.
type waiter struct {
	class    schemav1.RequestClass
	tenant   string
	weight   int
	enqueued time.Duration
	deadline time.Duration
	started  time.Duration
	// flow and index place a queued waiter; flow is nil when it isn't queued.
	flow  *flow
	index int
	done  chan struct{}
	err   error
}

func newWaiter(ticket Ticket, now time.Duration) *waiter {
	return &waiter{
		class: normalise(ticket.Class), tenant: ticket.Tenant, weight: int(max(ticket.Weight, 1)),
		enqueued: now, deadline: now + ticket.Deadline, done: make(chan struct{}),
	}
}

// byDeadline is a heap of the waiters of one tenant in one class.
type byDeadline []*waiter

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *byDeadline) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *byDeadline) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// flow is the queue of one tenant in one class.
type flow struct {
	tenant  string
	weight  int
	deficit int
	waiters byDeadline
}

// latest returns the waiter with the latest deadline.
func (f *flow) latest() *waiter {
	last := f.waiters[0]
	for _, w := range f.waiters {
		if w.deadline > last.deadline {
			last = w
		}
	}
	return last
}

// classQueue shares one class between tenants by deficit round robin. A request costs 1 and a tenant's quantum is its
// weight. The first flow in flows is the one being served.
type classQueue struct {
	flows []*flow
	size  int
}

func (q *classQueue) find(tenant string) *flow {
	for _, f := range q.flows {
		if f.tenant == tenant {
			return f
		}
	}
	return nil
}

func (q *classQueue) push(w *waiter) {
	f := q.find(w.tenant)
	if f == nil {
		f = &flow{tenant: w.tenant}
		q.flows = append(q.flows, f)
	}
	f.weight = w.weight
	w.flow = f
	heap.Push(&f.waiters, w)
	q.size++
}

// pop returns the next waiter, or nil.
func (q *classQueue) pop() *waiter {
	if q.size == 0 {
		return nil
	}
	f := q.flows[0]
	if f.deficit <= 0 {
		f.deficit += f.weight
	}
	w := f.waiters[0]
	f.deficit--
	q.remove(w)
	if f.deficit <= 0 && len(f.waiters) > 0 {
		q.flows = append(q.flows[1:], f)
	}
	return w
}

// remove takes a queued waiter out. A flow without waiters loses its deficit, so that idle tenants save up no credit.
func (q *classQueue) remove(w *waiter) {
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	w.flow = nil
	q.size--
	if len(f.waiters) > 0 {
		return
	}
	for i, other := range q.flows {
		if other == f {
			q.flows = append(q.flows[:i], q.flows[i+1:]...)
			return
		}
	}
}

// ahead estimates how many waiters of this class are served before w, which isn't queued yet. Until w's tenant has been
// served n times, another tenant is served n times the ratio of their weights, if it has that many waiters.
func (q *classQueue) ahead(w *waiter) int {
	own := 0
	if f := q.find(w.tenant); f != nil {
		for _, other := range f.waiters {
			if other.deadline <= w.deadline {
				own++
			}
		}
	}
	count := own
	for _, f := range q.flows {
		if f.tenant != w.tenant {
			share := ((own+1)*f.weight + w.weight - 1) / w.weight
			count += min(len(f.waiters), share)
		}
	}
	return count
}

// heaviest returns the flow with the most waiters for its weight, or nil.
func (q *classQueue) heaviest() *flow {
	var worst *flow
	for _, f := range q.flows {
		if worst == nil || len(f.waiters)*worst.weight > len(worst.waiters)*f.weight {
			worst = f
		}
	}
	return worst
}
