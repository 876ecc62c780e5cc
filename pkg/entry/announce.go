package entry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/registrar"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// announceTimeout is the timeout of a call that passes on an announcement. Targets use another host after a second.
const announceTimeout = 900 * time.Millisecond

// ErrNoRelay means that this host cannot take announcements now, because it is stopping or has not reached the registry yet.
var ErrNoRelay = merry.Sentinel("announcements cannot be taken by this host now")

// Announce processes an announcement of a target. One of a warm target that repeats what the view holds changes nothing, whatever the age of
// the view, and is answered at once. Any other is passed on to the registry, so that it applies on all hosts when Announce has returned
// without an error. next is always empty: the target stays with this host.
func (h *Host) Announce(ctx context.Context, target *schemav1.Registration, sequence uint64) (next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	v := h.awaitView(ctx)
	if v == nil || h.shuttingDown.Load() {
		return "", merry.Wrap(ErrNoRelay)
	}
	if !h.announcements.NeedsCommit(v.targets[target.GetId()], target, sequence) {
		return "", nil
	}
	return "", h.passOn(ctx, &schemav1.TargetAnnouncement{Registration: target, Sequence: sequence})
}

// awaitView returns the view, and waits for the first one if there is none yet. If it refused announcements meanwhile, all targets of a
// restarted host would turn to the registry hosts, which the entry hosts need for their first views. It returns nil if ctx ends first.
func (h *Host) awaitView(ctx context.Context) *view {
	for {
		changed := h.viewChanged.wait()
		if v := h.current(); v.table != nil {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// RemoveTarget marks a target as gone. started is the start time of the target in Unix milliseconds, or 0 if it is not known.
func (h *Host) RemoveTarget(ctx context.Context, id string, started int64) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	removal := &schemav1.TargetAnnouncement{Registration: &schemav1.Registration{Id: id, StartedUnixMs: started}, Removed: true}
	if started == 0 {
		removal.KnownStartedUnixMs = proto.Int64(h.current().targets[id].GetStartedUnixMs())
	}
	return h.passOn(ctx, removal)
}

// passOn sends an announcement to the registry host from which this host gets its view, until ctx ends.
func (h *Host) passOn(ctx context.Context, announcement *schemav1.TargetAnnouncement) error {
	address := h.registryAddress.Load()
	if address == nil {
		return merry.Wrap(ErrNoRelay)
	}
	answer := &schemav1.TargetAnnouncementAnswer{}
	err := h.registryClient.Call(ctx, *address, registrar.MethodAnnounce, announcement, answer)
	if err == nil && answer.GetUnknownTarget() {
		err = merry.Wrap(registrar.ErrUnknownTarget)
	}
	klog.InfoS("announcement passed on", "target", announcement.GetRegistration().GetId(), "life", announcement.GetRegistration().GetLife(),
		"removed", announcement.GetRemoved(), "leaving", announcement.GetLeaving(), "registry", *address, "err", err)
	return err
}
