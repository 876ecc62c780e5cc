package registrar

import (
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/replication"
)

// maxStateAge is the age up to which the state of this host counts as up to date. A learner is confirmed every 200 ms, by an echo that is
// 200 ms and a round trip old, and a lost packet is sent again after about 200 ms. Entry hosts have the rest of their bound, 0.8 s, to turn
// to another registry host.
const maxStateAge = 700 * time.Millisecond

// stateAge returns the time since the state of this host certainly had everything that the group had committed, or replication.UnknownAge.
// The age is unknown until the group has formed: the state may have commits that are lost with the disks of the hosts that may be lost.
func (r *Registrar) stateAge() time.Duration {
	replica := r.currentReplica()
	if replica == nil || !r.forming.isFormed() {
		return replication.UnknownAge
	}
	return replica.Status().StateAge
}

// isUpToDate reports whether the state of this host counts as that of the group.
func (r *Registrar) isUpToDate() bool { return r.stateAge() <= maxStateAge }

// recordFreshness records the age of the state in the metrics, and logs when the host starts or stops to be up to date. Only the main loop
// calls it.
func (r *Registrar) recordFreshness(age time.Duration) {
	if age != replication.UnknownAge {
		r.metrics.Scope.Gauge(metrics.StateAgeSeconds).Update(age.Seconds())
	}
	if upToDate := age <= maxStateAge; upToDate != r.wasUpToDate {
		r.wasUpToDate = upToDate
		klog.InfoS("registry host up to date", "host", r.options.Name, "upToDate", upToDate, "age", age, "version", r.state.Version())
	}
}
