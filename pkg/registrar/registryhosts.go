package registrar

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// absentTimeout is the time without a response to the leader after which views do not list a registry host any more. The bounds for changes hold
// again 3 s after a loss. Shorter absences are left to the entry hosts, which turn away by themselves.
const absentTimeout = 3 * time.Second

// absences compares the registry hosts that are recorded with the members of the group. The zero value is ready for use by a new leader.
type absences struct {
	// departedSince is the time since which the leader knows that a host is no member, by name.
	departedSince map[string]time.Duration
}

// nextChange returns the entry of the next registry host that differs from what the leader knows of the members, or nil. A host is absent while
// it is no member or does not respond, until it has responded to this leader. One that is no member for learnerTimeout, as one that was cut off may
// be for a while, has left. self is the ID of the leader.
func (a *absences) nextChange(now time.Duration, hosts []*schemav1.RegistryHost, members []replication.MemberStatus, self uint64) *schemav1.RegistryHost {
	departed := map[string]time.Duration{}
	var change *schemav1.RegistryHost
	for _, host := range hosts {
		absent, left := host.GetAbsent(), false
		member := memberAt(members, host.GetPeerAddress())
		switch {
		case member == nil:
			since, known := a.departedSince[host.GetName()]
			if !known {
				since = now
			}
			departed[host.GetName()] = since
			absent, left = true, now-since > learnerTimeout
		case member.ID == self, member.MatchIndex > 0 && member.SinceLastResponse <= responsiveTimeout:
			absent = false
		case member.SinceLastResponse > absentTimeout:
			absent = true
		}
		switch {
		case change != nil:
		case left:
			change = &schemav1.RegistryHost{Name: host.GetName()}
		case absent != host.GetAbsent():
			change = proto.CloneOf(host)
			change.Absent = absent
		}
	}
	a.departedSince = departed
	return change
}

// memberAt returns the member with an address that has responded last, or nil. A host that has lost its disk is a new member for a while
// beside the one that it was.
func memberAt(members []replication.MemberStatus, address string) *replication.MemberStatus {
	var latest *replication.MemberStatus
	for i := range members {
		if m := &members[i]; m.Address == address && (latest == nil || m.SinceLastResponse < latest.SinceLastResponse) {
			latest = m
		}
	}
	return latest
}

// recordHosts starts to record which registry hosts have left, are absent or are back. Only the leader calls it.
func (r *Registrar) recordHosts(absences *absences, status replication.Status) {
	change := absences.nextChange(time.Since(r.started), r.state.AllRegistryHosts(), status.Members, status.ID)
	if change == nil || !r.recordingHosts.CompareAndSwap(false, true) {
		return
	}
	r.start("record registry hosts", func() {
		defer r.recordingHosts.Store(false)
		_, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{RegistryHost: change})
		klog.InfoS("registry host recorded", "name", change.GetName(), "left", change.GetPeerAddress() == "", "absent", change.GetAbsent(), "err", err)
	})
}
