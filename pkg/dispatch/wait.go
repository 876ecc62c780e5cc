package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a request that waits for a target.
type Waiter struct {
	Request *Request
	// Ready gets the choice.
	Ready chan *Choice

	sequence uint64
}

// Enqueue queues a request that found all targets busy. The caller waits on Ready and calls Leave when it gives up.
func (c *Dispatcher) Enqueue(r *Request) *Waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	w := &Waiter{Request: r, Ready: make(chan *Choice, 1), sequence: c.sequence}
	at, _ := slices.BinarySearchFunc(c.waiting, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.Request.Priority, b.Request.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	c.waiting = slices.Insert(c.waiting, at, w)
	return w
}

// CancelWait takes a waiter out of the queue. It returns the choice if one was made meanwhile, which must be used or finished.
func (c *Dispatcher) CancelWait(w *Waiter) *Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := slices.Index(c.waiting, w); at >= 0 {
		c.waiting = slices.Delete(c.waiting, at, at+1)
		return nil
	}
	select {
	case choice := <-w.Ready:
		return choice
	default:
		return nil
	}
}

// DispatchWaiting gives targets that have room to waiting requests, the most urgent first.
func (c *Dispatcher) DispatchWaiting(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		return
	}
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if choice, _ := c.choose(now, w.Request); choice != nil {
			w.Ready <- choice
			continue
		}
		kept = append(kept, w)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// QueueLength is the number of queued requests.
func (c *Dispatcher) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}
