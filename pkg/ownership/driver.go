package ownership

import (
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// announceExpiry is the silence after which a target counts as lost: three announcements, one a second.
	announceExpiry = 3 * time.Second
	// ackGrace is how long a host may go on renewing without having applied the loss of an attachment. It covers one
	// renewal interval and the delay of replication; after it the host gets no lease, so that the loss takes effect
	// within a bounded time.
	ackGrace = 150 * time.Millisecond
	// gatherTime is how long a new leader waits for all hosts to renew before it attaches targets, so that the first
	// host to renew does not get them all.
	gatherTime = 150 * time.Millisecond
	// coldTime is how long a new boot counts as cold in placement; it is the shortest ramp of the gate.
	coldTime = 10 * time.Second
	// planInterval is the time between rounds of planned moves.
	planInterval = time.Second
)

// Options configure a Driver.
type Options struct {
	// HoldsLeaderLease reports whether this process holds the leader lease now. Without it no host lease is granted.
	HoldsLeaderLease func() bool
	// WallClock is the wall clock that expires idempotency records; nil keeps them.
	WallClock func() time.Time
	// DecisionLog receives placement decisions; nil writes none.
	DecisionLog *decisionlog.Logger
}

// Driver turns what the leader of a data centre group observes into commands. A driver serves one term: create it when
// the replica has become leader and has applied an entry of its own term, and drop it with the leadership. It is safe
// for concurrent use.
type Driver struct {
	table   *Table
	options Options

	mu sync.Mutex
	// startedAt stands for the last time at which an earlier leader can have granted a lease, and startIndex for the
	// last command whose effect a host may have missed then.
	startedAt  time.Duration
	startIndex uint64
	// observed is the count of the table's changes that the driver has seen, once observing is set.
	observed  uint64
	observing bool
	// records are the targets as last observed, in order of their names.
	records   []*schemav1.TargetRecord
	holders   map[holderKey]*holder
	targets   map[string]*targetWatch
	announced map[string]*schemav1.Announcement
	planner   plannerState
	hot       map[shardKey]*hotWatch
	// rebalancedAt and expiredAt are the times of the last rebalancing and of the last removal of old records.
	rebalancedAt time.Duration
	expiredAt    time.Duration
}

// NewDriver returns the driver of a new leader. Clock is read once, for the start of the wait for earlier leases.
func NewDriver(table *Table, clock lease.Clock, options Options) *Driver {
	now := clock()
	return &Driver{
		table: table, options: options, startedAt: now, rebalancedAt: now, startIndex: table.AppliedIndex(),
		holders: map[holderKey]*holder{}, targets: map[string]*targetWatch{},
		announced: map[string]*schemav1.Announcement{}, hot: map[shardKey]*hotWatch{}, planner: newPlannerState(),
	}
}

// Renew renews the lease of a host and keeps its reports. Now must be read after the request arrived. The host must read
// its table's Applied before it sends the request, and count a stopped or released attachment as gone for good. The lease is
// refused while another process may lead, to a process that is not the host of the control view, and to a host whose
// table lacks the loss of one of its attachments.
func (d *Driver) Renew(now time.Duration, request *schemav1.RenewRequest) *schemav1.RenewResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	refused := &schemav1.RenewResponse{}
	if request.Generation != d.table.Generation() || !d.known(request.Host, request.Identity) {
		return refused
	}
	d.observe(now)
	h := d.holder(holderKey{request.Host, request.Identity})
	h.draining = request.Draining
	d.keepReports(now, h, request.Targets)
	if !d.acknowledge(now, h, request.Applied) || !d.options.HoldsLeaderLease() {
		return refused
	}
	h.answered, h.granted = now, true
	return &schemav1.RenewResponse{Granted: true, LeaseMs: uint32(lease.HostLeaseDuration / time.Millisecond)}
}

// known reports whether the control view lists this process as a host of the data centre.
func (d *Driver) known(host string, identity uint64) bool {
	for _, h := range d.table.ControlView().Hosts {
		if h.Name == host && h.Identity == identity && h.DataCentre == d.table.DataCentre() {
			return true
		}
	}
	return false
}

// Step returns the commands that the leader should propose now, in this order. Call it every 10 ms and after a renewal
// that reports a loss. The commands hold for this term only: propose them on the local replica, never through another
// leader, which may have granted leases that this one knows to be over. A command that is lost does no harm; a later Step
// repeats it. Step returns nothing while the leader lease is not held.
func (d *Driver) Step(now time.Duration) []*schemav1.GroupCommand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	if !d.options.HoldsLeaderLease() {
		return nil
	}
	commands := d.registrations()
	commands = append(commands, d.losses(now)...)
	commands = append(commands, d.warmth(now)...)
	commands = append(commands, d.attachments(now)...)
	commands = append(commands, d.placements(now)...)
	commands = append(commands, d.hotKeys(now)...)
	return append(commands, d.expireRecords(now)...)
}
