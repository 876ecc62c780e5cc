package ownership_test

import (
	"fmt"
	"slices"
	"time"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// request is one request that a host sent to a target; the target may work on it until end.
type request struct {
	shard      uint32
	target     string
	host       string
	start, end time.Duration
	fence      *schemav1.Fence
}

// history checks that requests of a shard never overlap at two targets, that a shard's next target has a higher fence,
// and that requests of a target never overlap from two hosts.
type history struct {
	requests   []request
	lastServed map[uint32]time.Duration
	longestGap time.Duration
}

// violations compares each request with the later ones that start before it ends.
func (h *history) violations() []string {
	var found []string
	slices.SortStableFunc(h.requests, func(a, b request) int { return int(a.start - b.start) })
	last := map[uint32]request{}
	for i, a := range h.requests {
		if l, ok := last[a.shard]; ok && l.target != a.target && lease.CompareFences(a.fence, l.fence) <= 0 {
			found = append(found, fmt.Sprintf("shard %d: fence %v of %s after %v of %s", a.shard, a.fence, a.target, l.fence, l.target))
		}
		last[a.shard] = a
		for _, b := range h.requests[i+1:] {
			if b.start >= a.end {
				break
			}
			if a.shard == b.shard && a.target != b.target || a.target == b.target && a.host != b.host {
				found = append(found, fmt.Sprintf("shard %d: %s by %s [%v,%v) and shard %d: %s by %s at %v",
					a.shard, a.target, a.host, a.start, a.end, b.shard, b.target, b.host, b.start))
			}
		}
	}
	return found
}

func (h *history) served(now time.Duration, shard uint32) {
	if last, ok := h.lastServed[shard]; ok {
		h.longestGap = max(h.longestGap, now-last)
	}
	h.lastServed[shard] = now
}

// step is what a host does in one tick: apply, renew, send, release.
func (h *simHost) step() {
	if !h.up() {
		return
	}
	s := h.sim
	if !h.cut && !s.sealed {
		h.adopt()
		h.applyUpTo(len(s.log) - s.rng.IntN(2))
	}
	h.busy = slices.DeleteFunc(h.busy, func(r request) bool { return r.end <= s.now })
	if s.now%lease.RenewInterval == time.Duration(h.identity%10)*2*tick {
		h.renew()
	}
	if s.now%(2*tick) != 0 {
		return
	}
	for _, record := range h.table.TargetsAttachedTo(h.name) {
		if record.AttachedIdentity == h.identity {
			h.serve(record)
		}
	}
}

// adopt joins the current generation of the group.
func (h *simHost) adopt() {
	if h.sim.snapshot == nil || h.table.Generation() == h.sim.generation && h.table.ControlView().Index > 0 {
		return
	}
	h.table = ownership.NewTable(dataCentre, h.sim.generation)
	if err := h.table.Restore(h.sim.snapshot); err != nil {
		panic(err)
	}
	h.applied = 0
	h.holder.Drop()
}

// applyUpTo applies committed entries. A lagging host applies what was committed a while ago.
func (h *simHost) applyUpTo(index int) {
	if h.lag > 0 {
		h.lag -= tick
		return
	}
	for ; h.applied < index; h.applied++ {
		h.table.Apply(uint64(h.applied+1), h.sim.log[h.applied]) //nolint:gosec // never negative
	}
}

// serve sends requests to an attached target while the lease is valid, and releases shards that move.
func (h *simHost) serve(record *schemav1.TargetRecord) {
	s := h.sim
	name := record.Announcement.Target
	h.had[name] = record.Attachment
	target := s.target(name)
	if (!target.alive || record.Announcement.BootId != target.boot) && h.stopped[name] != record.Attachment {
		h.stopped[name] = record.Attachment
		h.renew() // a loss is reported at once
	}
	if !h.holder.Valid() || h.stopped[name] == record.Attachment {
		return
	}
	for _, shard := range h.table.ShardsOf(name) {
		if shard.State == schemav1.ShardState_SHARD_STATE_MOVING {
			h.release(shard)
			continue
		}
		s.history.served(s.now, shard.Shard)
		if s.rng.IntN(2) == 0 {
			h.send(shard)
		}
	}
}

// send starts a request. One in eight takes as long as the lease allows.
func (h *simHost) send(shard *schemav1.ShardRecord) {
	longest := time.Duration(float64(h.holder.Remaining()) / h.rate)
	duration := min(time.Duration(h.sim.rng.IntN(40))*time.Millisecond, longest)
	if h.sim.rng.IntN(8) == 0 {
		duration = longest
	}
	r := request{
		shard: shard.Shard, target: shard.Target, host: h.process,
		start: h.sim.now, end: h.sim.now + duration, fence: shard.Fence,
	}
	h.busy = append(h.busy, r)
	h.sim.history.requests = append(h.sim.history.requests, r)
}

// release reports a moving shard as released once nothing is in flight.
func (h *simHost) release(shard *schemav1.ShardRecord) {
	busy := slices.ContainsFunc(h.busy, func(r request) bool { return r.shard == shard.Shard })
	if busy && !h.sim.hasty || h.cut {
		return
	}
	leader := h.sim.leader
	finished := finishMove(change(shard.Shard, "", shard.Fence.Counter, 0))
	h.sim.after(h.sim.delay(), func() { h.sim.propose(leader, finished) })
}

// renew asks the leader for a lease; the request or the answer may be lost.
func (h *simHost) renew() {
	s := h.sim
	request := &schemav1.RenewRequest{
		Host: h.name, Identity: h.identity, Generation: h.table.Generation(), Applied: h.table.AppliedIndex(), Draining: h.draining,
		Targets: h.reports(),
	}
	if s.lie {
		request.Applied = 1 << 40
	}
	asked := h.clock()
	local := s.leader == h
	if !local && (h.cut || s.rng.IntN(50) == 0) {
		return
	}
	s.after(s.delay(), func() {
		if s.driver == nil || !s.leader.up() || (s.leader.cut || h.cut) && s.leader != h {
			return
		}
		if h.table.Generation() != request.Generation {
			return
		}
		if response := s.driver.Renew(s.leaderClock(), request); response.Granted && s.rng.IntN(50) > 0 {
			s.after(s.delay(), func() { h.holder.Extend(asked, time.Duration(response.LeaseMs)*time.Millisecond) })
		}
	})
}

// reports tells what the host promises about targets that it is or was attached to.
func (h *simHost) reports() []*schemav1.TargetReport {
	var reports []*schemav1.TargetReport
	for _, t := range h.sim.targets {
		attachment, ok := h.had[t.name]
		if !ok {
			continue
		}
		report := &schemav1.TargetReport{Target: t.name, BootId: t.boot, StoppedAttachment: h.stopped[t.name]}
		record, _ := h.table.Target(t.name)
		report.Unreachable = h.stopped[t.name] == attachment && record.GetAttachedHost() == h.name
		if report.Unreachable {
			report.BootId = record.Announcement.BootId
		}
		idle := !slices.ContainsFunc(h.busy, func(r request) bool { return r.target == t.name })
		if idle && (h.stopped[t.name] == attachment || record.GetAttachedHost() != h.name || record.GetAttachedIdentity() != h.identity) {
			report.ReleasedAttachment = attachment
		}
		reports = append(reports, report)
	}
	return reports
}
