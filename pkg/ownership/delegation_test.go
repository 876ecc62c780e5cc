package ownership_test

import (
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// movedShards of the simulation are delegated to another data centre and back.
const movedShards = 6

// moveDelegation plays the control group: it takes shards away, gives them to another data centre once they are
// reported as released, and gives them back 2 s later.
func moveDelegation(s *sim) {
	if s.delegating {
		return
	}
	s.delegating = true
	epoch := s.view.Delegations[0].Runs[0].Epoch
	s.delegate(dataCentre, "elsewhere", epoch)
	var poll func()
	poll = func() {
		if !s.leader.up() || s.leader.cut || !released(s.leader.table.ReleasedShards(), epoch) {
			s.after(100*time.Millisecond, poll)
			return
		}
		s.delegate("elsewhere", "", epoch+1)
		s.serveElsewhere(s.now + 2*time.Second)
		s.after(2*time.Second+100*time.Millisecond, func() {
			s.delegate(dataCentre, "", epoch+2)
			s.delegating = false
		})
	}
	s.after(100*time.Millisecond, poll)
}

func released(ranges []*schemav1.ShardRange, epoch uint64) bool {
	count := uint32(0)
	for _, r := range ranges {
		if r.Epoch == epoch {
			count += r.Count
		}
	}
	return count == movedShards
}

func (s *sim) delegate(to, next string, epoch uint64) {
	s.changeView(func(v *schemav1.ControlView) {
		v.Delegations[0].Runs = []*schemav1.DelegationRun{
			{FirstShard: 0, Count: movedShards, DataCentre: to, NextDataCentre: next, Epoch: epoch},
			{FirstShard: movedShards, Count: simShards - movedShards, DataCentre: dataCentre, Epoch: 1},
		}
	})
}

// serveElsewhere sends requests in the other data centre until the given time.
func (s *sim) serveElsewhere(until time.Duration) {
	if s.now >= until {
		return
	}
	for shard := range uint32(movedShards) {
		s.history.served(s.now, shard)
		s.history.requests = append(s.history.requests, request{
			shard: shard, target: "elsewhere", host: "elsewhere", start: s.now, end: s.now + 50*time.Millisecond,
			fence: &schemav1.Fence{Epoch: s.view.Delegations[0].Runs[0].Epoch, Counter: 1},
		})
	}
	s.after(20*time.Millisecond, func() { s.serveElsewhere(until) })
}
