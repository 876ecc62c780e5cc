package dispatch

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// peerMemory is how long a report of another host counts. Hosts repeat reports while they have requests in flight.
const peerMemory = time.Second

// InFlightReport returns what this host has in flight, and whether it changed since the last call.
func (c *Dispatcher) InFlightReport() (*schemav1.LoadReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.dirty
	c.dirty = false
	report := &schemav1.LoadReport{}
	for _, t := range c.targets {
		if t.own > 0 {
			report.Targets = append(report.Targets, t.hash)
			report.InFlight = append(report.InFlight, uint32(t.own))
		}
	}
	return report, changed
}

// ApplyPeerReport takes the report of another host. Late and repeated ones are ignored.
func (c *Dispatcher) ApplyPeerReport(now time.Duration, report *schemav1.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[report.GetEntry()]
	if ok && p.start == report.GetStart() && p.sequence >= report.GetSequence() {
		return
	}
	c.dropPeer(report.GetEntry())
	p = &peer{start: report.GetStart(), sequence: report.GetSequence(), at: now, inFlight: map[*target]int{}}
	c.peers[report.GetEntry()] = p
	for i, hash := range report.GetTargets() {
		if t := c.hashes[hash]; t != nil && i < len(report.GetInFlight()) {
			p.inFlight[t] = int(report.GetInFlight()[i])
			t.peers += p.inFlight[t]
		}
	}
}

func (c *Dispatcher) dropPeer(name string) {
	p, ok := c.peers[name]
	if !ok {
		return
	}
	for t, count := range p.inFlight {
		t.peers -= count
	}
	delete(c.peers, name)
}

// ExpirePeers drops what silent hosts reported.
func (c *Dispatcher) ExpirePeers(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.peers {
		if now-p.at > peerMemory {
			c.dropPeer(name)
		}
	}
}
