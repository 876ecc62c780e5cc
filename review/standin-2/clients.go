package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// clients are callers that send requests of one route at a mean rate, over kept connections.
type clients struct {
	d            *deployment
	record       *record
	host, path   string
	deadline     time.Duration
	pool, single *http.Client

	mu sync.Mutex
	// sent has the time at which each attempt was sent, by Request-Id.
	sent    map[string]time.Time
	counter atomic.Int64
	served  atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
	tasks   sync.WaitGroup
}

func newClients(d *deployment, r *record, host, path string, deadline time.Duration) *clients {
	return &clients{
		d: d, record: r, host: host, path: path, deadline: deadline, sent: map[string]time.Time{},
		pool:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}},
		single: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run sends requests at random intervals until ctx ends.
func (c *clients) run(ctx context.Context, perSecond float64) {
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		c.tasks.Go(c.request)
	}
}

// request sends one request and, if that fails, one more attempt to another machine.
func (c *clients) request() {
	began := time.Now()
	first := rand.IntN(len(c.d.fronts))
	for try := range 2 {
		client := c.pool
		if try > 0 {
			client = c.single
		}
		left := c.deadline - time.Since(began)
		if left <= 0 {
			break
		}
		status, retryAfter := c.attempt(client, c.d.fronts[(first+try)%len(c.d.fronts)], left)
		if status == http.StatusOK {
			c.served.Add(1)
			return
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			c.refused.Add(1)
		} else {
			c.failed.Add(1)
		}
		time.Sleep(min(retryAfter, (c.deadline-time.Since(began))/3))
	}
}

func (c *clients) attempt(client *http.Client, front *machine, left time.Duration) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	number := c.counter.Add(1)
	id := fmt.Sprintf("%016x", uint64(number)<<20|uint64(rand.IntN(1<<20)))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s%d", front.ip, frontPort, c.path, number), nil)
	if err != nil {
		return 0, 0
	}
	request.Host = c.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	c.record.write("sent", "id", id, "to", front.name)
	response, err := client.Do(request)
	if err != nil {
		c.record.write("failed", "id", id, "err", err)
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		c.record.write("failed", "id", id, "err", err)
		return 0, 0
	}
	c.record.write("answered", "id", id, "status", response.StatusCode)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

func (c *clients) sentAt(id string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[id]
	return at, ok
}
