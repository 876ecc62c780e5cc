// Package decisionlog writes one structured klog line per routing or placement decision. Operators' tools parse the
// lines, so messages and log keys must not change. Keys are logged as hashes only, because a key's name is tenant data.
package decisionlog

import (
	"strconv"

	"k8s.io/klog/v2"
)

// RoutingDecision says where a request is sent next, or why it is refused.
type RoutingDecision struct {
	RequestID string
	Service   string
	Keyspace  string
	Shard     uint32
	KeyHash   uint64
	// Hop is the role of this host for the request: "ingress" (received it from a caller), "relay" (received it from
	// another host) or "attached" (sends it to a target that is attached to this host).
	Hop string
	// NextHost, NextDataCentre and Target are the next hop of the request; all are empty when it is refused.
	NextHost       string
	NextDataCentre string
	Target         string
	Fence          string
	// Attempt is the number of the attempt to send the request, from 1.
	Attempt int
	// Reason says why this next hop was chosen; for a refused request it is the refusal code.
	Reason string
}

// PlacementDecision is a change of the owner of a shard or a hot key, of a target's attachment, or of a group's leader.
type PlacementDecision struct {
	// Kind is "assign", "move", "finish", "attach", "delegate", "split", "merge", "group" or "host".
	Kind     string
	Keyspace string
	Shard    uint32
	KeyHash  uint64
	From     string
	To       string
	Fence    string
	Reason   string
}

// Logger logs decisions. A nil Logger and the zero value log nothing.
type Logger struct {
	enabled bool
	host    string
}

// New returns a logger for the host of this name. It logs nothing unless enabled is true.
func New(host string, enabled bool) *Logger {
	return &Logger{enabled: enabled, host: host}
}

// LogRouting logs a routing decision.
func (l *Logger) LogRouting(d *RoutingDecision) {
	if l == nil || !l.enabled {
		return
	}
	klog.InfoS("routing", "host", l.host, "request", d.RequestID, "service", d.Service, "keyspace", d.Keyspace,
		"shard", d.Shard, "keyHash", formatHash(d.KeyHash), "hop", d.Hop, "toHost", d.NextHost, "toDataCentre", d.NextDataCentre,
		"target", d.Target, "fence", d.Fence, "attempt", d.Attempt, "reason", d.Reason)
}

// LogPlacement logs a placement decision.
func (l *Logger) LogPlacement(d *PlacementDecision) {
	if l == nil || !l.enabled {
		return
	}
	klog.InfoS("placement", "host", l.host, "kind", d.Kind, "keyspace", d.Keyspace, "shard", d.Shard,
		"keyHash", formatHash(d.KeyHash), "from", d.From, "to", d.To, "fence", d.Fence, "reason", d.Reason)
}

// formatHash formats a key hash in hexadecimal. It returns "" for 0, which decisions about a whole shard have.
func formatHash(hash uint64) string {
	if hash == 0 {
		return ""
	}
	return strconv.FormatUint(hash, 16)
}
