package host

import (
	"time"

	"almondrock.example/almondrock/pkg/metrics"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// measures are what the leader of a data centre group reports about its data centre: imbalance, churn and unavailable
// time.
type measures struct {
	reportedAt  time.Duration
	unavailable float64
}

// measure reports the state of the data centre on its leader.
func (g *group) measure(now time.Duration) {
	scope := g.host.metrics.Scope
	report := g.report()
	scope.Gauge(metrics.Shards).Update(float64(report.GetShards()))
	scope.Gauge(metrics.ShardsWithoutOwner).Update(float64(report.GetShardsWithoutOwner()))
	scope.Gauge(metrics.ImbalanceRatio).Update(imbalance(report.GetTargets()))
	if g.measures.reportedAt > 0 && report.GetShards() > 0 {
		share := float64(report.GetShardsWithoutOwner()) / float64(report.GetShards())
		g.measures.unavailable += share * (now - g.measures.reportedAt).Seconds()
	}
	g.measures.reportedAt = now
	scope.Gauge(metrics.UnavailableSeconds).Update(g.measures.unavailable)
}

// imbalance is the largest number of shards per slot over the mean, over usable targets; 1 is even, 0 means no targets.
// Targets of different services are compared with their own service only.
func imbalance(targets []*schemav1.TargetStatus) float64 {
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

// countMoves counts shards that get another owner, for churn.
func (g *group) countMoves(commands []*schemav1.GroupCommand) {
	moves := 0
	for _, command := range commands {
		moves += len(command.GetStartMoves().GetMoves()) + len(command.GetAssignShards().GetAssignments())
	}
	if moves > 0 {
		g.host.metrics.Scope.Counter(metrics.ShardMoves).Inc(int64(moves))
	}
}
