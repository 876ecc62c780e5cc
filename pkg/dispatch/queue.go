package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a queued request.
type Waiter struct {
	Request *Request
	// Ready receives the choice once a target has been chosen.
	Ready chan *Choice

	sequence uint64
}

// Enqueue adds a request to the queue because all targets are busy. The caller receives from Ready, and must call CancelWait if it
// stops waiting before that.
func (d *Dispatcher) Enqueue(r *Request) *Waiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	w := &Waiter{Request: r, Ready: make(chan *Choice, 1), sequence: d.sequence}
	at, _ := slices.BinarySearchFunc(d.queue, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.Request.Priority, b.Request.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	d.queue = slices.Insert(d.queue, at, w)
	return w
}

// CancelWait removes a waiter from the queue. If a target was chosen in the meantime, it returns that choice, which must be used or
// finished; otherwise it returns nil.
func (d *Dispatcher) CancelWait(w *Waiter) *Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := slices.Index(d.queue, w); at >= 0 {
		d.queue = slices.Delete(d.queue, at, at+1)
		return nil
	}
	select {
	case choice := <-w.Ready:
		return choice
	default:
		return nil
	}
}

// DispatchWaiting chooses targets for queued requests in the order of the queue. Requests for which no target is available stay queued.
func (d *Dispatcher) DispatchWaiting(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queue) == 0 {
		return
	}
	kept := d.queue[:0]
	for _, w := range d.queue {
		if choice, _ := d.choose(now, w.Request); choice != nil {
			w.Ready <- choice
			continue
		}
		kept = append(kept, w)
	}
	clear(d.queue[len(kept):])
	d.queue = kept
}

// QueueLength returns the number of queued requests.
func (d *Dispatcher) QueueLength() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue)
}
