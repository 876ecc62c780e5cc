package loadgen

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// item is one request to send.
type item struct {
	// at is the intended send time since the start of the run.
	at     time.Duration
	number int
	key    string
	method string
	// unique is the Idempotency-Key and the body of a POST.
	unique string
}

// plan hands out the requests of a run in order. The same seed gives the same plan, whatever the workers do.
type plan struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	zipf   *rand.Zipf
	next   time.Duration
	number int
}

func newPlan(options Options) *plan {
	p := &plan{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
	if options.KeySkew > 1 {
		p.zipf = rand.NewZipf(p.random, options.KeySkew, 1, uint64(options.Keys-1))
	}
	if p.options.Count == 0 {
		p.options.Count = MaxCount
	}
	return p
}

// take returns the next request; ok is false when the run is over.
func (p *plan) take() (next item, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.number >= p.options.Count {
		return item{}, false
	}
	p.next += time.Duration(p.random.ExpFloat64() / p.options.Rate * float64(time.Second))
	if p.next >= p.options.Duration {
		p.number = p.options.Count
		return item{}, false
	}
	p.number++
	next = item{at: p.next, number: p.number, key: p.key(), method: http.MethodGet}
	if p.random.Float64() < p.options.PostShare {
		next.method = http.MethodPost
		next.unique = fmt.Sprintf("load-%d-%d", p.options.Seed, p.number)
		// A key of its own makes the target's count of runs that of this very request.
		next.key += "-" + next.unique
	}
	return next, true
}

func (p *plan) key() string {
	if p.zipf != nil {
		return fmt.Sprintf("load-%d", p.zipf.Uint64())
	}
	return fmt.Sprintf("load-%d", p.random.IntN(p.options.Keys))
}
