// Package decisionlog writes one structured klog line per routing or placement decision. The fields are fixed:
// operators' tools parse them. Keys appear by hash only, because a key's name is tenant data.
package decisionlog

import (
	"strconv"

	"k8s.io/klog/v2"
)

// RoutingDecision is one decision about where a request goes.
type RoutingDecision struct {
	RequestID string
	Service   string
	Keyspace  string
	Shard     uint32
	KeyHash   uint64
	// Hop is "ingress", "relay" or "attached".
	Hop string
	// NextHost, DataCentre and Target are where the request goes next; empty when refused.
	NextHost       string
	NextDataCentre string
	Target         string
	Fence          string
	// Attempt counts from 1.
	Attempt int
	// Reason tells why this place was chosen, or the refusal code.
	Reason string
}

// PlacementDecision is one decision about what owns a shard, a hot key or an attachment.
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

// Logger writes decisions. The zero value and nil write nothing.
type Logger struct {
	enabled bool
	host    string
}

// New returns a log for host; enabled false turns it off.
func New(host string, enabled bool) *Logger {
	return &Logger{enabled: enabled, host: host}
}

// LogRouting writes one routing decision.
func (l *Logger) LogRouting(d *RoutingDecision) {
	if l == nil || !l.enabled {
		return
	}
	klog.InfoS("routing", "host", l.host, "request", d.RequestID, "service", d.Service, "keyspace", d.Keyspace,
		"shard", d.Shard, "keyHash", formatHash(d.KeyHash), "hop", d.Hop, "toHost", d.NextHost, "toDataCentre", d.NextDataCentre,
		"target", d.Target, "fence", d.Fence, "attempt", d.Attempt, "reason", d.Reason)
}

// LogPlacement writes one placement decision.
func (l *Logger) LogPlacement(d *PlacementDecision) {
	if l == nil || !l.enabled {
		return
	}
	klog.InfoS("placement", "host", l.host, "kind", d.Kind, "keyspace", d.Keyspace, "shard", d.Shard,
		"keyHash", formatHash(d.KeyHash), "from", d.From, "to", d.To, "fence", d.Fence, "reason", d.Reason)
}

// formatHash leaves out the hash of decisions that concern a whole shard.
func formatHash(hash uint64) string {
	if hash == 0 {
		return ""
	}
	return strconv.FormatUint(hash, 16)
}
