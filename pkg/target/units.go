package target

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// unitID identifies what a grant covers: a shard, or a hot key of a shard.
type unitID struct {
	keyspace string
	shard    uint32
	hot      bool
	keyHash  uint64
}

func idOf(record *schemav1.ShardRecord) unitID {
	if record.GetHot() {
		return unitID{keyspace: record.GetKeyspace(), hot: true, keyHash: record.GetKeyHash()}
	}
	return unitID{keyspace: record.GetKeyspace(), shard: record.GetShard()}
}

type unitState int

const (
	// unitPending waits for the target to accept the grant.
	unitPending unitState = iota
	unitGranted
	// unitStopping takes no new work and waits for requests in flight.
	unitStopping
	// unitRevoking waits for the target to accept the revocation, or for the grant to expire.
	unitRevoking
	unitReleased
)

// unit is one shard or hot key of an attached target.
type unit struct {
	id     unitID
	record *schemav1.ShardRecord
	state  unitState
	// expires is when the target's grant is certainly over, in this host's clock.
	expires time.Duration
	// fenceText and shardText are the headers of requests under this grant.
	fenceText, shardText string
}

func newUnit(id unitID, record *schemav1.ShardRecord) *unit {
	u := &unit{id: id, record: record, fenceText: FormatFence(record.GetFence())}
	u.shardText = FormatShard(u.grant())
	return u
}

func (u *unit) grant() Grant {
	return Grant{
		Keyspace: u.id.keyspace, Shard: u.record.GetShard(), Hot: u.id.hot, KeyHash: u.id.keyHash, Fence: u.fenceText,
	}
}

// setShards brings the units in line with the table. Shards in the state moving are stopped at once and released in
// the background.
func (a *AttachedTarget) setShards(records []*schemav1.ShardRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[unitID]bool, len(records))
	for _, record := range records {
		id := idOf(record)
		seen[id] = true
		switch record.GetState() {
		case schemav1.ShardState_SHARD_STATE_OWNED:
			a.own(id, record)
		case schemav1.ShardState_SHARD_STATE_MOVING:
			a.startRelease(id, record)
		default:
			delete(a.units, id)
		}
	}
	for id := range a.units {
		if !seen[id] {
			delete(a.units, id)
		}
	}
}

// own makes the unit wait for its grant, unless it already has it under the same fence.
func (a *AttachedTarget) own(id unitID, record *schemav1.ShardRecord) {
	if u, ok := a.units[id]; ok && u.state <= unitGranted && proto.Equal(u.record.GetFence(), record.GetFence()) {
		return
	}
	u := newUnit(id, record)
	if !a.record.GetAnnouncement().GetCapabilities().GetFence() {
		u.state = unitGranted
	}
	a.units[id] = u
}

// startRelease stops new work for the unit and drains it in the background. A unit that this host did not know before
// is released all the same: the target may hold a grant from the host that it was attached to before.
func (a *AttachedTarget) startRelease(id unitID, record *schemav1.ShardRecord) {
	u, ok := a.units[id]
	if ok && u.state >= unitStopping && proto.Equal(u.record.GetFence(), record.GetFence()) {
		return
	}
	if !ok || !proto.Equal(u.record.GetFence(), record.GetFence()) {
		u = newUnit(id, record)
		u.expires = a.manager.options.Clock() + latestExpiry(max(0, a.manager.lease()))
		a.units[id] = u
	}
	u.record, u.state = record, unitStopping
	a.manager.background(func(ctx context.Context) { a.release(ctx, u) })
}

// release waits for requests in flight, revokes the grant and reports the release.
func (a *AttachedTarget) release(ctx context.Context, u *unit) {
	if !a.drain(ctx, u) || !a.revoke(ctx, u) {
		return
	}
	a.mu.Lock()
	current := a.units[u.id] == u && !a.closed
	if current {
		u.state = unitReleased
	}
	record, name := u.record, a.record.GetAnnouncement().GetTarget()
	a.mu.Unlock()
	if current {
		a.manager.options.OnShardReleased(name, record)
	}
}

// drain waits until no request of the unit is in flight. Each ends at its deadline at the latest. It reports false when
// the release was overtaken by a change of the table.
func (a *AttachedTarget) drain(ctx context.Context, u *unit) bool {
	for {
		changed := a.flights.next()
		a.mu.Lock()
		current := a.units[u.id] == u && !a.closed
		a.mu.Unlock()
		busy := a.flights.count(u.covers) > 0
		if !current {
			return false
		}
		if !busy {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// covers reports whether the unit's release waits for the request. A request that began before its key became hot counts
// for the hot key too.
func (u *unit) covers(work *InFlightRequest) bool {
	if work.unit == nil || work.scope.Keyspace != u.id.keyspace {
		return false
	}
	if u.id.hot {
		return work.scope.KeyHash == u.id.keyHash
	}
	return work.unit.id == u.id
}

// revoke takes the grant back. When the target does not answer, it waits until the grant has expired.
func (a *AttachedTarget) revoke(ctx context.Context, u *unit) bool {
	if !a.ChecksFences() {
		return true
	}
	a.mu.Lock()
	u.state = unitRevoking
	a.mu.Unlock()
	for {
		if a.granter.revoke(ctx, a, u) {
			return true
		}
		a.mu.Lock()
		current := a.units[u.id] == u && !a.closed
		expired := a.manager.options.Clock() > u.expires
		a.mu.Unlock()
		if !current {
			return false
		}
		if expired {
			return true
		}
		if !sleep(ctx, revokeInterval) {
			return false
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pendingReleases returns the units whose release was reported but is not in the table yet.
func (a *AttachedTarget) pendingReleases() []*schemav1.ShardRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	var records []*schemav1.ShardRecord
	for _, u := range a.units {
		if u.state == unitReleased {
			records = append(records, u.record)
		}
	}
	return records
}
