package registrar

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// recordLeaving records a start of a target as draining, because it has said so in an answer to an entry host. A start that is not
// registered as ready stays as it is. The order of the target's own announcements is not affected.
func (r *Registrar) recordLeaving(ctx context.Context, id string, started int64) error {
	known, _ := r.state.Target(id)
	draining := leavingRegistration(known, started)
	if draining == nil {
		return nil
	}
	err := r.registrations.commit(ctx, draining)
	klog.InfoS("leaving target recorded", "target", id, "started", started, "err", err)
	return err
}

// leavingRegistration returns the registration of a target that leaves, or nil if that changes nothing: the target is not known with this
// start, or not ready any more.
func leavingRegistration(known *schemav1.Registration, started int64) *schemav1.Registration {
	if known.GetStartedUnixMs() != started || known.GetLife() != schemav1.Life_LIFE_READY {
		return nil
	}
	draining := proto.Clone(known).(*schemav1.Registration)
	draining.Life = schemav1.Life_LIFE_DRAINING
	return draining
}
