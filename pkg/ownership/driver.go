package ownership

import (
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/lease"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// announcementTimeout is the time without an announcement after which a target counts as lost. Targets announce themselves
	// once a second, so three announcements are missing then.
	announcementTimeout = 3 * time.Second
	// detachmentAckGrace is how long a host that has not applied the loss of an attachment may still renew its lease. It covers
	// one renewal interval and the replication delay. After it the host gets no lease, so that the loss takes effect within a
	// bounded time.
	detachmentAckGrace = 150 * time.Millisecond
	// renewalWait is how long a new leader waits for all hosts to renew their leases before it attaches targets. Otherwise the
	// first host to renew would get all unattached targets.
	renewalWait = 150 * time.Millisecond
	// coldStartDuration is how long a new boot counts as cold in placement. It is the shortest duration of the ramp with which
	// a target's admission gate raises its concurrency.
	coldStartDuration = 10 * time.Second
	// planInterval is the time between rounds of planned moves.
	planInterval = time.Second
)

// Options configures a Driver.
type Options struct {
	// HoldsLeaderLease reports whether this process holds the leader lease now. While it does not, the driver grants no host
	// leases and returns no commands.
	HoldsLeaderLease func() bool
	// DecisionLog receives placement decisions; if it is nil, none are written.
	DecisionLog *decisionlog.Logger
}

// Driver is the part of ownership that runs on the leader of a data centre group: it grants host leases and turns what it
// observes into commands. A driver serves one term: create it when the replica has become leader and has applied an entry of
// its own term, and discard it when the leadership ends. It is safe for concurrent use.
type Driver struct {
	table   *Table
	options Options

	mu sync.Mutex
	// startedAt is the latest time at which an earlier leader may have granted a lease. startIndex is the log index that a host
	// must have applied to get a lease from this leader, since it may have missed commands of the earlier one.
	startedAt  time.Duration
	startIndex uint64
	// seenChangeCount is the table's change count at the last observation; it is valid once hasObserved is set.
	seenChangeCount uint64
	hasObserved     bool
	// targetRecords are the records of all targets at the last observation, ordered by name.
	targetRecords        []*schemav1.TargetRecord
	holders              map[holderKey]*holder
	targets              map[string]*observedTarget
	pendingAnnouncements map[string]*schemav1.Announcement
	planner              plannerState
	hotKeys              map[shardKey]*observedHotKey
	// rebalancedAt is the time of the last rebalancing of attachments, recordsExpiredAt that of the last removal of old
	// idempotency records.
	rebalancedAt     time.Duration
	recordsExpiredAt time.Duration
}

// NewDriver returns the driver of a new leader. It reads clock once; leases of earlier leaders count as granted at that time.
func NewDriver(table *Table, clock lease.Clock, options Options) *Driver {
	now := clock()
	return &Driver{
		table: table, options: options, startedAt: now, rebalancedAt: now, recordsExpiredAt: now, startIndex: table.AppliedIndex(),
		holders: map[holderKey]*holder{}, targets: map[string]*observedTarget{},
		pendingAnnouncements: map[string]*schemav1.Announcement{}, hotKeys: map[shardKey]*observedHotKey{}, planner: newPlannerState(),
	}
}

// Renew grants or refuses a host lease and stores the reports of the host. The caller must read now after the request has
// arrived. The host must read its table's AppliedIndex before it sends the request, and must never again use an attachment
// that it has reported as stopped or released. The lease is refused if this process does not hold the leader lease, if the
// control view does not list the process that asks as a host of this data centre, and if the host's table lacks the loss of
// one of its attachments.
func (d *Driver) Renew(now time.Duration, request *schemav1.RenewRequest) *schemav1.RenewResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	refused := &schemav1.RenewResponse{}
	if request.Generation != d.table.Generation() || !d.isCurrentHost(request.Host, request.Identity) {
		return refused
	}
	d.observeTable(now)
	h := d.holder(holderKey{request.Host, request.Identity})
	h.draining = request.Draining
	d.storeReports(now, h, request.Targets)
	if !d.acknowledgeDetachments(now, h, request.Applied) || !d.options.HoldsLeaderLease() {
		return refused
	}
	h.lastGrantAt, h.grantedByThisLeader = now, true
	return &schemav1.RenewResponse{Granted: true, LeaseMs: uint32(lease.HostLeaseDuration / time.Millisecond)}
}

// isCurrentHost reports whether the control view lists this process as a host of the data centre.
func (d *Driver) isCurrentHost(host string, identity uint64) bool {
	for _, h := range d.table.ControlView().Hosts {
		if h.Name == host && h.Identity == identity && h.DataCentre == d.table.DataCentre() {
			return true
		}
	}
	return false
}

// Step returns the commands that the leader should propose now, in this order. Call it every 10 ms and after a renewal that
// reports a loss. The commands are valid in this term only: propose them on the local replica, never through another leader,
// which may have granted leases that this one assumes to be over. If a command is lost, a later Step returns it again. Step
// returns nothing while this process does not hold the leader lease.
func (d *Driver) Step(now time.Duration) []*schemav1.GroupCommand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeTable(now)
	if !d.options.HoldsLeaderLease() {
		return nil
	}
	commands := d.registrationCommands()
	commands = append(commands, d.lossCommands(now)...)
	commands = append(commands, d.warmStateCommands(now)...)
	commands = append(commands, d.leavingCommands(now)...)
	commands = append(commands, d.attachmentCommands(now)...)
	commands = append(commands, d.placementCommands(now)...)
	commands = append(commands, d.hotKeyCommands(now)...)
	return append(commands, d.recordExpiryCommands(now)...)
}
