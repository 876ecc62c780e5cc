package target

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Paths of the target contract, the HTTP interface between hosts and targets. Hosts serve AnnouncePath, targets the others.
const (
	AnnouncePath = "/v1/announce"
	GrantPath    = "/almondrock/grant"
	RevokePath   = "/almondrock/revoke"
)

// Headers of the target contract, in canonical form.
const (
	HeaderRequestID  = "Almondrock-Request-Id"
	HeaderKey        = "Almondrock-Key"
	HeaderTenant     = "Almondrock-Tenant"
	HeaderShard      = "Almondrock-Shard"
	HeaderFence      = "Almondrock-Fence"
	HeaderDeadlineMs = "Almondrock-Deadline-Ms"
	// HeaderDeadlineAt is the deadline in milliseconds of the target's own monotonic clock.
	HeaderDeadlineAt = "Almondrock-Deadline-At"
	// HeaderNotRun on a response states that the target refused the request without running it.
	HeaderNotRun = "Almondrock-Not-Run"
	// HeaderLeaving on a response, with the value 1, states that the target is about to stop.
	HeaderLeaving = "Almondrock-Leaving"
)

// Grant names one shard, or one hot key, and the fence under which the target owns it.
type Grant struct {
	Keyspace string `json:"keyspace"`
	Shard    uint32 `json:"shard"`
	Hot      bool   `json:"hot,omitempty"`
	// KeyHash identifies a hot key; it is text because JSON numbers lose precision above 2^53.
	KeyHash uint64 `json:"keyHash,string"`
	// Fence has the form "epoch.generation.counter".
	Fence string `json:"fence"`
}

// GrantRequest is the body of a request that gives or renews grants.
type GrantRequest struct {
	Host       string `json:"host"`
	Attachment uint64 `json:"attachment"`
	// ExpiryMs is the time until the grants expire, counted from the receipt of the request.
	ExpiryMs int64 `json:"expiryMs"`
	// ExpiresAtMs is the same expiry on the target's own clock, so that a request that is delivered late does not extend
	// a grant beyond the host's lease; 0 when the host does not know the target's clock.
	ExpiresAtMs uint64 `json:"expiresAtMs,omitempty"`
	// RenewAll renews all grants that the target holds. Grants are given in addition.
	RenewAll bool    `json:"all,omitempty"`
	Grants   []Grant `json:"grants,omitempty"`
}

// RevokeRequest is the body of a request that revokes grants.
type RevokeRequest struct {
	Host       string  `json:"host"`
	Attachment uint64  `json:"attachment"`
	Grants     []Grant `json:"grants"`
}

// GrantResponse is the body of the response to a grant or a revocation.
type GrantResponse struct {
	// BootID changes when the target restarts, after which it holds no grants.
	BootID string `json:"bootId"`
	// ClockMs is the target's monotonic clock in milliseconds.
	ClockMs uint64 `json:"clockMs"`
	// HeldGrants is the number of grants that the target holds.
	HeldGrants int `json:"held"`
}

// FormatFence returns fence as "epoch.generation.counter".
func FormatFence(fence *schemav1.Fence) string {
	buffer := make([]byte, 0, 24)
	buffer = strconv.AppendUint(buffer, fence.GetEpoch(), 10)
	buffer = append(buffer, '.')
	buffer = strconv.AppendUint(buffer, fence.GetGeneration(), 10)
	buffer = append(buffer, '.')
	return string(strconv.AppendUint(buffer, fence.GetCounter(), 10))
}

// ParseFence parses the result of FormatFence. It returns false when text is malformed.
func ParseFence(text string) (*schemav1.Fence, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return nil, false
	}
	var numbers [3]uint64
	for i, part := range parts {
		number, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return nil, false
		}
		numbers[i] = number
	}
	return &schemav1.Fence{Epoch: numbers[0], Generation: numbers[1], Counter: numbers[2]}, true
}

// FormatShard returns the value of HeaderShard: keyspace, shard and, for a hot key, its hash.
func FormatShard(grant Grant) string {
	if grant.Hot {
		return fmt.Sprintf("%s:%d:%x", grant.Keyspace, grant.Shard, grant.KeyHash)
	}
	return grant.Keyspace + ":" + strconv.FormatUint(uint64(grant.Shard), 10)
}

// ParseShard parses the result of FormatShard. The returned grant has no fence. It returns false when text is malformed.
func ParseShard(text string) (Grant, bool) {
	parts := strings.Split(text, ":")
	if len(parts) != 2 && len(parts) != 3 {
		return Grant{}, false
	}
	shard, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return Grant{}, false
	}
	grant := Grant{Keyspace: parts[0], Shard: uint32(shard)}
	if len(parts) == 3 {
		grant.Hot = true
		if grant.KeyHash, err = strconv.ParseUint(parts[2], 16, 64); err != nil {
			return Grant{}, false
		}
	}
	return grant, true
}

// IsSafe reports whether method is safe as defined by RFC 9110 section 9.2.1: it changes nothing at the target.
func IsSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions ||
		method == http.MethodTrace
}
