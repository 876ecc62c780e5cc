package host

import (
	"time"

	"almondrock.example/almondrock/pkg/metrics"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// groupMetrics holds what the leader of a data centre group needs to report the unavailable time of its data centre.
// unavailableSeconds is weighted by the fraction of shards without an owner.
type groupMetrics struct {
	reportedAt         time.Duration
	unavailableSeconds float64
}

// reportMetrics updates the metrics of the data centre on the leader of its group.
func (g *group) reportMetrics(now time.Duration) {
	scope := g.host.metrics.Scope
	report := g.report()
	scope.Gauge(metrics.Shards).Update(float64(report.GetShards()))
	scope.Gauge(metrics.ShardsWithoutOwner).Update(float64(report.GetShardsWithoutOwner()))
	scope.Gauge(metrics.ImbalanceRatio).Update(imbalanceRatio(report.GetTargets()))
	if g.groupMetrics.reportedAt > 0 && report.GetShards() > 0 {
		share := float64(report.GetShardsWithoutOwner()) / float64(report.GetShards())
		g.groupMetrics.unavailableSeconds += share * (now - g.groupMetrics.reportedAt).Seconds()
	}
	g.groupMetrics.reportedAt = now
	scope.Gauge(metrics.UnavailableSeconds).Update(g.groupMetrics.unavailableSeconds)
}

// imbalanceRatio returns the largest number of shards per slot of a ready target, divided by the mean of its service. The
// result is the maximum over all services: 1 is balanced, 0 means that there are no shards or no ready targets.
func imbalanceRatio(targets []*schemav1.TargetStatus) float64 {
	type sums struct{ shards, slots, worst float64 }
	services := map[string]*sums{}
	for _, target := range targets {
		if target.GetState() != stateReady || target.GetSlots() == 0 {
			continue
		}
		s, ok := services[target.GetService()]
		if !ok {
			s = &sums{}
			services[target.GetService()] = s
		}
		s.shards += float64(target.GetShards())
		s.slots += float64(target.GetSlots())
		s.worst = max(s.worst, float64(target.GetShards())/float64(target.GetSlots()))
	}
	worst := 0.0
	for _, s := range services {
		if s.shards > 0 {
			worst = max(worst, s.worst*s.slots/s.shards)
		}
	}
	return worst
}

// countMoves counts the shards for which commands start a move or assign an owner.
func (g *group) countMoves(commands []*schemav1.GroupCommand) {
	moves := 0
	for _, command := range commands {
		moves += len(command.GetStartMoves().GetMoves()) + len(command.GetAssignShards().GetAssignments())
	}
	if moves > 0 {
		g.host.metrics.Scope.Counter(metrics.ShardMoves).Inc(int64(moves))
	}
}
