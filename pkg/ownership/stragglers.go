package ownership

import (
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// A target is a straggler once its median latency has been slowFactor times the median of its peers for slowTime, and
// until it has been under fastFactor times for fastTime. Short slowness is left to the gate and to hedging.
const (
	slowFactor = 3
	fastFactor = 1.5
	slowTime   = 30 * time.Second
	fastTime   = 60 * time.Second
	// minPeers is the number of measured targets below which the median says nothing.
	minPeers = 3
	// reportAge is how long a measurement counts.
	reportAge = 2 * time.Second
)

// observeStragglers compares the latencies of the targets of a service.
func (d *Driver) observeStragglers(now time.Duration, records []*schemav1.TargetRecord) {
	var watches []*targetWatch
	var latencies []time.Duration
	for _, record := range records {
		watch := d.targets[record.Announcement.Target]
		if watch != nil && watch.latency > 0 && now-watch.reportedAt <= reportAge {
			watches = append(watches, watch)
			latencies = append(latencies, watch.latency)
		}
	}
	if len(latencies) < minPeers {
		return
	}
	slices.Sort(latencies)
	// The lower median, so that two slow targets of four don't count as usual.
	median := latencies[(len(latencies)-1)/2]
	for _, watch := range watches {
		watch.compare(now, float64(watch.latency)/float64(median))
	}
}

// compare takes over the ratio of the latency to the median of the peers.
func (w *targetWatch) compare(now time.Duration, ratio float64) {
	if slow := ratio > slowFactor; slow != w.slow {
		w.slow, w.slowSince = slow, now
	}
	if fast := ratio < fastFactor; fast != w.fast {
		w.fast, w.fastSince = fast, now
	}
	switch {
	case w.slow && now-w.slowSince >= slowTime:
		w.straggler = true
	case w.fast && now-w.fastSince >= fastTime:
		w.straggler = false
	}
}
