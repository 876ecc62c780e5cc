package registrar

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// absentTimeout is the time without a response to the leader after which views do not list a registry host any more. Shorter absences are
	// left to the entry hosts, which turn away by themselves. From contactMs on after a loss, 3 s, bounds for changes hold again.
	absentTimeout = 3 * time.Second
	// adoptInterval is how often the leader looks for entry hosts that no registry host has heard of lately.
	adoptInterval = 4 * watcherTimeout
)

// nextHostChange returns the entry of the next registry host that differs from what the leader knows of the members of the group, or nil. A
// host that is no member has left, and one that does not respond is absent until it has responded to this leader. self is the ID of the leader.
func nextHostChange(hosts []*schemav1.RegistryHost, members []replication.MemberStatus, self uint64) *schemav1.RegistryHost {
	for _, host := range hosts {
		member := memberAt(members, host.GetPeerAddress())
		if member == nil {
			return &schemav1.RegistryHost{Name: host.GetName()}
		}
		absent := host.GetAbsent()
		switch responded := member.MatchIndex > 0 && member.SinceLastResponse <= responsiveTimeout; {
		case member.ID == self, responded:
			absent = false
		case member.SinceLastResponse > absentTimeout:
			absent = true
		}
		if absent != host.GetAbsent() {
			changed := proto.CloneOf(host)
			changed.Absent = absent
			return changed
		}
	}
	return nil
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
func (r *Registrar) recordHosts(status replication.Status) {
	change := nextHostChange(r.state.AllRegistryHosts(), status.Members, status.ID)
	if change == nil || !r.recordingHosts.CompareAndSwap(false, true) {
		return
	}
	r.start("record registry hosts", func() {
		defer r.recordingHosts.Store(false)
		_, err := r.proposeWithRetry(r.ctx, &schemav1.RegistryCommand{RegistryHost: change})
		klog.InfoS("registry host recorded", "name", change.GetName(), "left", change.GetPeerAddress() == "", "absent", change.GetAbsent(), "err", err)
	})
}
