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

// Times of the health checks of other hosts. A host whose process is paused still accepts connections, so only missing
// responses show it.
const (
	// silenceBeforeProbe is how long a request may be without a response before its host is probed. With peerProbeTimeout
	// it keeps new requests away from a silent host within the second in which keys must be served again.
	silenceBeforeProbe = 300 * time.Millisecond
	// peerProbeTimeout is many times the round trip to the farthest region.
	peerProbeTimeout = 300 * time.Millisecond
	// peerProbeInterval is the minimum time between two probes of a silent host.
	peerProbeInterval = 500 * time.Millisecond
)

// peerHealth tracks the hosts that did not respond to a probe. It is safe for concurrent use.
type peerHealth struct {
	pool  *target.Pool
	clock lease.Clock

	mu sync.Mutex
	// silent holds the addresses whose last probe failed.
	silent map[string]bool
	// probed maps addresses to the time of their last probe.
	probed map[string]time.Duration
}

func newPeerHealth(pool *target.Pool, clock lease.Clock) *peerHealth {
	return &peerHealth{pool: pool, clock: clock, silent: map[string]bool{}, probed: map[string]time.Duration{}}
}

// moveSilentLast moves silent hosts to the end of addresses and probes them, so that they are preferred again once they
// respond.
func (p *peerHealth) moveSilentLast(addresses []string) {
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

// startWatch probes a host when its request has no response after silenceBeforeProbe. The returned function ends the watch.
func (p *peerHealth) startWatch(address string) func() {
	timer := time.AfterFunc(silenceBeforeProbe, func() { p.probe(address) })
	return func() { timer.Stop() }
}

// probe checks in the background whether a host responds, at most once per peerProbeInterval.
func (p *peerHealth) probe(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if last, ok := p.probed[address]; ok && now-last < peerProbeInterval {
		return
	}
	p.probed[address] = now
	go func() {
		responded := p.responds(address)
		p.mu.Lock()
		defer p.mu.Unlock()
		if responded {
			delete(p.silent, address)
			delete(p.probed, address)
			return
		}
		p.silent[address] = true
	}()
}

// responds reports whether the host sends any response, which may be a refusal, within peerProbeTimeout.
func (p *peerHealth) responds(address string) bool {
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
