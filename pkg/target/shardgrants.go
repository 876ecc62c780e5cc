package target

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// shardID identifies what a grant covers: a shard, or a hot key of a shard.
type shardID struct {
	keyspace string
	shard    uint32
	hot      bool
	keyHash  uint64
}

func shardIDOf(record *schemav1.ShardRecord) shardID {
	if record.GetHot() {
		return shardID{keyspace: record.GetKeyspace(), hot: true, keyHash: record.GetKeyHash()}
	}
	return shardID{keyspace: record.GetKeyspace(), shard: record.GetShard()}
}

type grantState int

const (
	// grantPending means that the target has not accepted the grant yet.
	grantPending grantState = iota
	grantActive
	// grantDraining means that no new requests are sent and the requests in flight are waited for.
	grantDraining
	// grantRevoking means that the target has not accepted the revocation yet and the grant has not expired.
	grantRevoking
	grantReleased
)

// shardGrant is the grant of one shard or hot key to an attached target.
type shardGrant struct {
	id     shardID
	record *schemav1.ShardRecord
	state  grantState
	// expires is the time, on this host's clock, after which the grant has certainly expired at the target.
	expires time.Duration
	// fenceText and shardText are the values of the fence and shard headers of requests under this grant.
	fenceText, shardText string
}

func newShardGrant(id shardID, record *schemav1.ShardRecord) *shardGrant {
	sg := &shardGrant{id: id, record: record, fenceText: FormatFence(record.GetFence())}
	sg.shardText = FormatShard(sg.wireGrant())
	return sg
}

func (sg *shardGrant) wireGrant() Grant {
	return Grant{
		Keyspace: sg.id.keyspace, Shard: sg.record.GetShard(), Hot: sg.id.hot, KeyHash: sg.id.keyHash, Fence: sg.fenceText,
	}
}

// setShards updates the shard grants from the ownership table. Shards in the state moving take no new requests at once and
// are released in the background.
func (a *AttachedTarget) setShards(records []*schemav1.ShardRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[shardID]bool, len(records))
	for _, record := range records {
		id := shardIDOf(record)
		seen[id] = true
		switch record.GetState() {
		case schemav1.ShardState_SHARD_STATE_OWNED:
			a.ensureGrant(id, record)
		case schemav1.ShardState_SHARD_STATE_MOVING:
			a.startRelease(id, record)
		default:
			delete(a.shardGrants, id)
		}
	}
	for id := range a.shardGrants {
		if !seen[id] {
			delete(a.shardGrants, id)
		}
	}
}

// ensureGrant adds a pending grant, unless one under the same fence is pending or active. For a target that does not check
// fences, the grant is active at once. The caller must hold a.mu.
func (a *AttachedTarget) ensureGrant(id shardID, record *schemav1.ShardRecord) {
	if sg, ok := a.shardGrants[id]; ok && sg.state <= grantActive && proto.Equal(sg.record.GetFence(), record.GetFence()) {
		return
	}
	sg := newShardGrant(id, record)
	if !a.record.GetAnnouncement().GetCapabilities().GetFence() {
		sg.state = grantActive
	}
	a.shardGrants[id] = sg
}

// startRelease stops new requests for the shard and releases it in the background. A shard that this host did not know is
// released in the same way, because the target may hold a grant from the host that it was attached to before. The caller
// must hold a.mu.
func (a *AttachedTarget) startRelease(id shardID, record *schemav1.ShardRecord) {
	sg, ok := a.shardGrants[id]
	if ok && sg.state >= grantDraining && proto.Equal(sg.record.GetFence(), record.GetFence()) {
		return
	}
	if !ok || !proto.Equal(sg.record.GetFence(), record.GetFence()) {
		sg = newShardGrant(id, record)
		sg.expires = a.manager.options.Clock() + latestExpiry(max(0, a.manager.remainingLease()))
		a.shardGrants[id] = sg
	}
	sg.record, sg.state = record, grantDraining
	a.manager.background(func(ctx context.Context) { a.release(ctx, sg) })
}

// release waits for requests in flight, revokes the grant and reports the release.
func (a *AttachedTarget) release(ctx context.Context, sg *shardGrant) {
	if !a.drain(ctx, sg) || !a.revoke(ctx, sg) {
		return
	}
	a.mu.Lock()
	current := a.shardGrants[sg.id] == sg && !a.closed
	if current {
		sg.state = grantReleased
	}
	record, name := sg.record, a.record.GetAnnouncement().GetTarget()
	a.mu.Unlock()
	if current {
		a.manager.options.OnShardReleased(name, record)
	}
}

// drain waits until no request for the shard is in flight. Each request ends at its deadline at the latest. It returns false
// when ctx ends or a change of the ownership table has made the release obsolete.
func (a *AttachedTarget) drain(ctx context.Context, sg *shardGrant) bool {
	for {
		changed := a.inFlightRequests.nextChange()
		a.mu.Lock()
		current := a.shardGrants[sg.id] == sg && !a.closed
		a.mu.Unlock()
		busy := a.inFlightRequests.count(sg.covers) > 0
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

// covers reports whether the release of the shard must wait for the request. A request that began before its key became hot
// also counts for the hot key.
func (sg *shardGrant) covers(request *InFlightRequest) bool {
	if request.shardGrant == nil || request.key.Keyspace != sg.id.keyspace {
		return false
	}
	if sg.id.hot {
		return request.key.KeyHash == sg.id.keyHash
	}
	return request.shardGrant.id == sg.id
}

// revoke revokes the grant at the target. When the target does not respond, it waits until the grant has expired. It returns
// false when ctx ends or the release has become obsolete.
func (a *AttachedTarget) revoke(ctx context.Context, sg *shardGrant) bool {
	if !a.ChecksFences() {
		return true
	}
	a.mu.Lock()
	sg.state = grantRevoking
	a.mu.Unlock()
	for {
		if a.grantSender.revoke(ctx, a, sg) {
			return true
		}
		a.mu.Lock()
		current := a.shardGrants[sg.id] == sg && !a.closed
		expired := a.manager.options.Clock() > sg.expires
		a.mu.Unlock()
		if !current {
			return false
		}
		if expired {
			return true
		}
		if !monotonic.Sleep(ctx, revokeInterval) {
			return false
		}
	}
}

// unconfirmedReleases returns the shards whose release was reported but does not show in the ownership table yet.
func (a *AttachedTarget) unconfirmedReleases() []*schemav1.ShardRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	var records []*schemav1.ShardRecord
	for _, sg := range a.shardGrants {
		if sg.state == grantReleased {
			records = append(records, sg.record)
		}
	}
	return records
}
