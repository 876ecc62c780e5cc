package loadgen

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// plannedRequest is one request to send.
type plannedRequest struct {
	// sendTime is the intended send time, relative to the start of the run.
	sendTime time.Duration
	number   int
	key      string
	method   string
	// idempotencyKey is sent as the Idempotency-Key and as the body of a POST; empty for a GET.
	idempotencyKey string
}

// schedule generates the requests of a run in order. It depends only on the options: the same seed gives the same requests,
// independent of the timing of the workers.
type schedule struct {
	options Options

	mu           sync.Mutex
	random       *rand.Rand
	zipf         *rand.Zipf
	lastSendTime time.Duration
	issued       int
}

func newSchedule(options Options) *schedule {
	s := &schedule{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
	if options.KeySkew > 1 {
		s.zipf = rand.NewZipf(s.random, options.KeySkew, 1, uint64(options.Keys-1))
	}
	if s.options.Count == 0 {
		s.options.Count = MaxCount
	}
	return s
}

// nextRequest returns the next request of the run; ok is false if there is none.
func (s *schedule) nextRequest() (next plannedRequest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.issued >= s.options.Count {
		return plannedRequest{}, false
	}
	s.lastSendTime += time.Duration(s.random.ExpFloat64() / s.options.Rate * float64(time.Second))
	if s.lastSendTime >= s.options.Duration {
		s.issued = s.options.Count
		return plannedRequest{}, false
	}
	s.issued++
	next = plannedRequest{sendTime: s.lastSendTime, number: s.issued, key: s.randomKey(), method: http.MethodGet}
	if s.random.Float64() < s.options.PostShare {
		next.method = http.MethodPost
		next.idempotencyKey = fmt.Sprintf("load-%d-%d", s.options.Seed, s.issued)
		// The key is unique, so that the target's execution count for the key is the one for this request.
		next.key += "-" + next.idempotencyKey
	}
	return next, true
}

func (s *schedule) randomKey() string {
	if s.zipf != nil {
		return fmt.Sprintf("load-%d", s.zipf.Uint64())
	}
	return fmt.Sprintf("load-%d", s.random.IntN(s.options.Keys))
}
