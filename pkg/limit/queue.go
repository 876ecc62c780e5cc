package limit

import (
	"container/heap"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// classCount is the length of arrays indexed by request class; index 0 (unspecified) is unused.
const classCount = int(schemav1.RequestClass_REQUEST_CLASS_FILE) + 1

// normaliseClass maps unset and unknown classes to the interactive class, because a route without a class is a lookup.
func normaliseClass(class schemav1.RequestClass) schemav1.RequestClass {
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
	// flow and index are the position of a queued waiter; flow is nil when it isn't queued.
	flow  *flow
	index int
	// done is closed when the waiter is admitted or refused; err is then the refusal or nil.
	done chan struct{}
	err  error
}

func newWaiter(ticket Ticket, now time.Duration) *waiter {
	return &waiter{
		class: normaliseClass(ticket.Class), tenant: ticket.Tenant, weight: int(max(ticket.Weight, 1)),
		enqueued: now, deadline: now + ticket.Deadline, done: make(chan struct{}),
	}
}

// byDeadline is a heap of the waiters of one tenant in one class, with the earliest deadline first.
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

// flow is the queue of one tenant in one class, a flow in the terms of deficit round robin.
type flow struct {
	tenant  string
	weight  int
	deficit int
	waiters byDeadline
}

// latest returns the waiter with the latest deadline; the flow must not be empty.
func (f *flow) latest() *waiter {
	last := f.waiters[0]
	for _, w := range f.waiters {
		if w.deadline > last.deadline {
			last = w
		}
	}
	return last
}

// classQueue queues the waiters of one class and shares the slots between tenants by deficit round robin. A request costs 1
// and a tenant's quantum is its weight. The first flow in flows is the one being served.
type classQueue struct {
	flows []*flow
	size  int
}

func (q *classQueue) flowOf(tenant string) *flow {
	for _, f := range q.flows {
		if f.tenant == tenant {
			return f
		}
	}
	return nil
}

func (q *classQueue) push(w *waiter) {
	f := q.flowOf(w.tenant)
	if f == nil {
		f = &flow{tenant: w.tenant}
		q.flows = append(q.flows, f)
	}
	f.weight = w.weight
	w.flow = f
	heap.Push(&f.waiters, w)
	q.size++
}

// pop removes and returns the next waiter, or returns nil when the queue is empty.
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

// remove removes a queued waiter. A flow without waiters is dropped with its deficit, so that idle tenants accumulate no
// credit.
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

// waitersAhead estimates how many waiters of this class are served before w, which isn't queued yet. Until w's tenant has
// been served n times, another tenant is served n times the ratio of its weight to that of w's tenant, if it has that many
// waiters.
func (q *classQueue) waitersAhead(w *waiter) int {
	own := 0
	if f := q.flowOf(w.tenant); f != nil {
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

// heaviest returns the flow with the most waiters in relation to its weight, or nil when the queue is empty.
func (q *classQueue) heaviest() *flow {
	var worst *flow
	for _, f := range q.flows {
		if worst == nil || len(f.waiters)*worst.weight > len(worst.waiters)*f.weight {
			worst = f
		}
	}
	return worst
}
