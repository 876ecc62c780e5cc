package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// unit identifies what a grant covers: a shard, or a hot key.
type unit struct {
	keyspace string
	shard    uint32
	hot      bool
	keyHash  uint64
}

func unitOf(grant target.Grant) unit {
	u := unit{keyspace: grant.Keyspace, shard: grant.Shard, hot: grant.Hot}
	if grant.Hot {
		u.keyHash = grant.KeyHash
	}
	return u
}

type heldGrant struct {
	fence   *schemav1.Fence
	expires time.Duration
}

// grantTable is what the target owns. The highest fence outlives the grant, so that an older one never comes back.
type grantTable struct {
	granted map[unit]heldGrant
	highest map[unit]*schemav1.Fence
}

func newGrantTable() grantTable {
	return grantTable{granted: map[unit]heldGrant{}, highest: map[unit]*schemav1.Fence{}}
}

// observe records a fence and reports whether it is not below the highest one seen.
func (t *grantTable) observe(u unit, fence *schemav1.Fence) bool {
	if highest, ok := t.highest[u]; ok && lease.CompareFences(fence, highest) < 0 {
		return false
	}
	t.highest[u] = fence
	return true
}

func (t *grantTable) allows(u unit, fence *schemav1.Fence, now time.Duration) bool {
	held, ok := t.granted[u]
	return ok && now < held.expires && lease.CompareFences(held.fence, fence) == 0 && t.observe(u, fence)
}

func (t *grantTable) held(now time.Duration) []target.Grant {
	var grants []target.Grant
	for u, held := range t.granted {
		if now < held.expires {
			grants = append(grants, target.Grant{
				Keyspace: u.keyspace, Shard: u.shard, Hot: u.hot, KeyHash: u.keyHash, Fence: target.FormatFence(held.fence),
			})
		}
	}
	return grants
}

func (t *grantTable) renewAll(expires, now time.Duration) {
	for u, held := range t.granted {
		if now < held.expires {
			t.granted[u] = heldGrant{fence: held.fence, expires: expires}
		}
	}
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request target.GrantRequest
	if !s.readControl(w, r, &request) {
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
		if !ok || !s.grants.observe(unitOf(grant), fence) {
			stale = true
			continue
		}
		s.grants.granted[unitOf(grant)] = heldGrant{fence: fence, expires: expires}
	}
	s.mu.Unlock()
	s.answerControl(w, stale)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request target.RevokeRequest
	if !s.readControl(w, r, &request) {
		return
	}
	s.mu.Lock()
	stale := false
	for _, grant := range request.Grants {
		fence, ok := target.ParseFence(grant.Fence)
		if !ok || !s.grants.observe(unitOf(grant), fence) {
			stale = true
			continue
		}
		delete(s.grants.granted, unitOf(grant))
	}
	s.mu.Unlock()
	s.answerControl(w, stale)
}

// maxControlBytes bounds the body of a grant or revocation: 4,096 shards at about 100 bytes each, with room to spare.
const maxControlBytes = 1 << 20

func (s *Server) readControl(w http.ResponseWriter, r *http.Request, request any) bool {
	s.waitThawed()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(request); err != nil {
		http.Error(w, "malformed request", http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) answerControl(w http.ResponseWriter, stale bool) {
	s.mu.Lock()
	now := s.options.Clock()
	answer := target.GrantResponse{BootID: s.bootID, ClockMs: clockMs(now), HeldGrants: len(s.grants.held(now))}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if stale {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func clockMs(now time.Duration) uint64 { return uint64(max(0, now.Milliseconds())) }
