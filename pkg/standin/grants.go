package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// shardID identifies what a grant covers: a shard or a hot key.
type shardID struct {
	keyspace string
	shard    uint32
	hot      bool
	keyHash  uint64
}

func shardIDOf(grant target.Grant) shardID {
	id := shardID{keyspace: grant.Keyspace, shard: grant.Shard, hot: grant.Hot}
	if grant.Hot {
		id.keyHash = grant.KeyHash
	}
	return id
}

type heldGrant struct {
	fence   *schemav1.Fence
	expires time.Duration
}

// grantTable holds the target's grants and the highest fence seen of each shard. The fence is kept after the grant has ended,
// so that an older grant is never accepted again.
type grantTable struct {
	granted      map[shardID]heldGrant
	highestFence map[shardID]*schemav1.Fence
}

func newGrantTable() grantTable {
	return grantTable{granted: map[shardID]heldGrant{}, highestFence: map[shardID]*schemav1.Fence{}}
}

// recordFence records fence and returns true, unless a higher fence was seen before.
func (t *grantTable) recordFence(id shardID, fence *schemav1.Fence) bool {
	if highestFence, ok := t.highestFence[id]; ok && lease.CompareFences(fence, highestFence) < 0 {
		return false
	}
	t.highestFence[id] = fence
	return true
}

func (t *grantTable) allows(id shardID, fence *schemav1.Fence, now time.Duration) bool {
	held, ok := t.granted[id]
	return ok && now < held.expires && lease.CompareFences(held.fence, fence) == 0 && t.recordFence(id, fence)
}

func (t *grantTable) held(now time.Duration) []target.Grant {
	var grants []target.Grant
	for id, held := range t.granted {
		if now < held.expires {
			grants = append(grants, target.Grant{
				Keyspace: id.keyspace, Shard: id.shard, Hot: id.hot, KeyHash: id.keyHash, Fence: target.FormatFence(held.fence),
			})
		}
	}
	return grants
}

func (t *grantTable) renewAll(expires, now time.Duration) {
	for id, held := range t.granted {
		if now < held.expires {
			t.granted[id] = heldGrant{fence: held.fence, expires: expires}
		}
	}
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request target.GrantRequest
	if !s.readGrantRequest(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.counts.Grants++
	now := s.options.Clock()
	expires := now + time.Duration(request.ExpiryMs)*time.Millisecond
	if request.ExpiresAtMs > 0 {
		expires = min(expires, time.Duration(request.ExpiresAtMs)*time.Millisecond)
	}
	if request.RenewAll {
		s.grants.renewAll(expires, now)
	}
	stale := false
	for _, grant := range request.Grants {
		fence, ok := target.ParseFence(grant.Fence)
		if !ok || !s.grants.recordFence(shardIDOf(grant), fence) {
			stale = true
			continue
		}
		s.grants.granted[shardIDOf(grant)] = heldGrant{fence: fence, expires: expires}
	}
	s.mu.Unlock()
	s.writeGrantResponse(w, r, stale)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request target.RevokeRequest
	if !s.readGrantRequest(w, r, &request) {
		return
	}
	s.mu.Lock()
	stale := false
	for _, grant := range request.Grants {
		fence, ok := target.ParseFence(grant.Fence)
		if !ok || !s.grants.recordFence(shardIDOf(grant), fence) {
			stale = true
			continue
		}
		delete(s.grants.granted, shardIDOf(grant))
	}
	s.mu.Unlock()
	s.writeGrantResponse(w, r, stale)
}

// maxGrantRequestBytes limits the body of a grant or revocation. 4,096 shards at about 100 bytes each fit easily.
const maxGrantRequestBytes = 1 << 20

func (s *Server) readGrantRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	s.waitWhileFrozen()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantRequestBytes)).Decode(request); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) writeGrantResponse(w http.ResponseWriter, r *http.Request, stale bool) {
	s.mu.Lock()
	now := s.options.Clock()
	response := target.GrantResponse{BootID: s.bootID, ClockMs: clockMs(now), HeldGrants: len(s.grants.held(now))}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	if stale {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func clockMs(now time.Duration) uint64 { return uint64(max(0, now.Milliseconds())) }
