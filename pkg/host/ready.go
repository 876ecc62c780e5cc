package host

import (
	"slices"
	"strings"

	"almondrock.example/almondrock/pkg/control"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Readiness tells whether the balancer should send callers here.
type Readiness struct {
	OK bool
	// Reasons say what is missing; empty when OK.
	Reasons []string
}

// Ready reports whether this host can serve.
func (h *Host) Ready() Readiness {
	var reasons []string
	if h.draining.Load() {
		reasons = append(reasons, "a planned stop is under way")
	}
	g := h.group.Load()
	switch {
	case g == nil:
		reasons = append(reasons, "not yet a member of the data centre group")
	case !h.lease.Valid():
		reasons = append(reasons, "no host lease: the group has no leader, or this host cannot reach it")
	}
	view := h.views.get()
	switch {
	case view == nil || view.snapshot == nil:
		reasons = append(reasons, "no configuration yet")
	case slices.Contains(view.view.GetDataCentresOut(), h.settings.GetDataCentre()):
		reasons = append(reasons, "data centre "+h.settings.GetDataCentre()+" is taken out of service")
	}
	return Readiness{OK: len(reasons) == 0, Reasons: reasons}
}

// String joins the reasons for a log line or an answer.
func (r Readiness) String() string {
	if r.OK {
		return "ready"
	}
	return strings.Join(r.Reasons, "; ")
}

// DataCentre is the data centre of this host.
func (h *Host) DataCentre() string { return h.settings.GetDataCentre() }

// ServesAllKeys reports whether every shard is delegated, and each one delegated to this data centre has an owner with
// an attached host.
func (h *Host) ServesAllKeys() bool {
	view, g := h.views.get(), h.group.Load()
	if view == nil || view.snapshot == nil || g == nil {
		return false
	}
	for _, wanted := range view.snapshot.Keyspaces() {
		delegation := view.delegations[wanted.ID]
		if wanted.Exclusive && !g.servesAll(delegation, wanted.Shards) {
			return false
		}
	}
	return true
}

func (g *group) servesAll(delegation *schemav1.KeyspaceDelegation, shards uint32) bool {
	for shard := range shards {
		run, ok := control.FindRun(delegation, shard)
		if !ok {
			return false
		}
		if run.GetDataCentre() != g.table.DataCentre() {
			continue
		}
		assignment, ok := g.table.Assignment(delegation.GetKeyspace(), shard, 0)
		if !ok || assignment.Host == "" || assignment.Moving {
			return false
		}
	}
	return true
}
