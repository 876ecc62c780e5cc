package ownership

import (
	"slices"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// A target becomes a straggler once its median latency has been above slowFactor times the median of its peers for slowDelay,
// and stops being one once it has been below fastFactor times that median for fastDelay. Shorter slow phases are left to the
// admission gate and to hedging.
const (
	slowFactor = 3
	fastFactor = 1.5
	slowDelay  = 30 * time.Second
	fastDelay  = 60 * time.Second
	// minPeers is the number of measured targets below which the median has no meaning.
	minPeers = 3
	// maxReportAge is the age up to which a measurement counts.
	maxReportAge = 2 * time.Second
)

// observeStragglers compares the latency of each target of a service with the median of all of them.
func (d *Driver) observeStragglers(now time.Duration, records []*schemav1.TargetRecord) {
	var compared []*observedTarget
	var latencies []time.Duration
	for _, record := range records {
		observed := d.targets[record.Announcement.Target]
		if observed != nil && observed.latency > 0 && now-observed.reportedAt <= maxReportAge {
			compared = append(compared, observed)
			latencies = append(latencies, observed.latency)
		}
	}
	if len(latencies) < minPeers {
		return
	}
	slices.Sort(latencies)
	// The lower median is used, so that two slow targets of four do not raise it.
	median := latencies[(len(latencies)-1)/2]
	for _, observed := range compared {
		observed.updateStraggler(now, float64(observed.latency)/float64(median))
	}
}

// updateStraggler updates the straggler state from the ratio of the target's latency to the median.
func (o *observedTarget) updateStraggler(now time.Duration, ratio float64) {
	if slow := ratio > slowFactor; slow != o.slow {
		o.slow, o.slowSince = slow, now
	}
	if fast := ratio < fastFactor; fast != o.fast {
		o.fast, o.fastSince = fast, now
	}
	switch {
	case o.slow && now-o.slowSince >= slowDelay:
		o.straggler = true
	case o.fast && now-o.fastSince >= fastDelay:
		o.straggler = false
	}
}
