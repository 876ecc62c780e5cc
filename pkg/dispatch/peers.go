package dispatch

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// peerReportLifetime is how long the report of a peer is used. Peers repeat their reports while they have requests in flight.
const peerReportLifetime = time.Second

// peerRestartTime is the least time that a host takes to stop and start again. A report with another start that arrives sooner after
// one of the current process was delayed on its way.
const peerRestartTime = 250 * time.Millisecond

// InFlightReport returns the number of requests that this host has in flight at each target, and whether it may have changed since
// the last call.
func (d *Dispatcher) InFlightReport() (*schemav1.LoadReport, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.loadChanged
	d.loadChanged = false
	report := &schemav1.LoadReport{}
	for _, t := range d.targets {
		if t.ownInFlight > 0 && !d.isScheduled(t) {
			report.Targets = append(report.Targets, t.hash)
			report.InFlight = append(report.InFlight, uint32(t.ownInFlight))
		}
	}
	return report, changed
}

// ApplyPeerReport replaces what is known of a peer by its report. Outdated and duplicate reports, and delayed ones of an earlier process,
// are ignored.
func (d *Dispatcher) ApplyPeerReport(now time.Duration, report *schemav1.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peerInFlight[report.GetEntry()]
	if ok && p.start == report.GetStart() && p.sequence >= report.GetSequence() {
		return
	}
	if ok && p.start != report.GetStart() && now-p.receivedAt < peerRestartTime {
		return
	}
	d.removePeer(report.GetEntry())
	p = &peerReport{start: report.GetStart(), sequence: report.GetSequence(), receivedAt: now, inFlight: map[*target]int{}}
	d.peerInFlight[report.GetEntry()] = p
	for i, hash := range report.GetTargets() {
		if t := d.targetsByHash[hash]; t != nil && i < len(report.GetInFlight()) {
			// Two targets may have the same hash.
			count := min(int(report.GetInFlight()[i]), t.Slots*maxReportedPerSlot)
			p.inFlight[t] += count
			t.peerInFlight += count
		}
	}
	for _, hash := range report.GetPausing() {
		if t := d.targetsByHash[hash]; t != nil {
			p.pausing = append(p.pausing, t)
			t.peerPauses++
		}
	}
}

// removePeer removes the load that a peer reported.
func (d *Dispatcher) removePeer(name string) {
	p, ok := d.peerInFlight[name]
	if !ok {
		return
	}
	for t, count := range p.inFlight {
		t.peerInFlight -= count
	}
	for _, t := range p.pausing {
		t.peerPauses--
	}
	delete(d.peerInFlight, name)
}

// ExpirePeers removes the load of peers that have not reported for peerReportLifetime.
func (d *Dispatcher) ExpirePeers(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.peerInFlight {
		if now-p.receivedAt > peerReportLifetime {
			d.removePeer(name)
		}
	}
}
