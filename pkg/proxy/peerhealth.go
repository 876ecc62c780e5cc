package proxy

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/target"
)

// Bounds of the watch over other hosts. A host that is paused still accepts connections, so only silence shows it.
const (
	// peerSilence is how long a request may go unanswered before its host is probed. With peerProbeTimeout it keeps new
	// requests away from a silent host within the second in which keys must be served again.
	peerSilence = 300 * time.Millisecond
	// peerProbeTimeout exceeds the round trip to the farthest region many times.
	peerProbeTimeout = 300 * time.Millisecond
	// peerProbeInterval limits the probes of a silent host.
	peerProbeInterval = 500 * time.Millisecond
)

// peerHealth knows the hosts that did not answer a probe. It is safe for concurrent use.
type peerHealth struct {
	pool  *target.Pool
	clock lease.Clock

	mu     sync.Mutex
	silent map[string]bool
	probed map[string]time.Duration
}

func newPeerHealth(pool *target.Pool, clock lease.Clock) *peerHealth {
	return &peerHealth{pool: pool, clock: clock, silent: map[string]bool{}, probed: map[string]time.Duration{}}
}

// order moves silent hosts to the end and probes them, so that they return to their place once they answer.
func (p *peerHealth) order(addresses []string) {
	p.mu.Lock()
	if len(p.silent) == 0 {
		p.mu.Unlock()
		return
	}
	suspects := map[string]bool{}
	for _, address := range addresses {
		suspects[address] = p.silent[address]
	}
	p.mu.Unlock()
	slices.SortStableFunc(addresses, func(a, b string) int {
		switch {
		case suspects[a] == suspects[b]:
			return 0
		case suspects[a]:
			return 1
		}
		return -1
	})
	for address, suspect := range suspects {
		if suspect {
			p.probe(address)
		}
	}
}

// watch probes a host when a request has no answer for peerSilence; the returned function ends the watch.
func (p *peerHealth) watch(address string) func() {
	timer := time.AfterFunc(peerSilence, func() { p.probe(address) })
	return func() { timer.Stop() }
}

// probe asks a host for any answer in the background, one probe per interval.
func (p *peerHealth) probe(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if last, ok := p.probed[address]; ok && now-last < peerProbeInterval {
		return
	}
	p.probed[address] = now
	go func() {
		answered := p.answers(address)
		p.mu.Lock()
		defer p.mu.Unlock()
		if answered {
			delete(p.silent, address)
			delete(p.probed, address)
			return
		}
		p.silent[address] = true
	}()
}

// answers reports whether the host answers; a refusal is an answer.
func (p *peerHealth) answers(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), peerProbeTimeout)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Host: address, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	reply, err := p.pool.Send(request.WithContext(ctx), nil)
	if err != nil {
		return false
	}
	reply.Discard()
	return true
}
