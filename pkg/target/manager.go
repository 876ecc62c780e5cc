package target

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/metrics"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	// Host is the name of this host.
	Host  string
	Clock lease.Clock
	// RemainingLease returns the time left of this host's lease; zero or less when the lease has expired.
	RemainingLease func() time.Duration
	// NewGate returns the admission control for a target.
	NewGate func(record *schemav1.TargetRecord) Gate
	// OnShardReleased is called when a moving shard takes no new requests, has none in flight and its grant is revoked or
	// has expired. Each RenewGrants calls it again until the ownership table shows the move as finished, so that a lost
	// report is repeated.
	OnShardReleased func(target string, shard *schemav1.ShardRecord)
	// OnAttachmentReleased is called when a target whose attachment was lost has no more requests in flight, so that the
	// host can report it at once.
	OnAttachmentReleased func()
	// Scope receives the metrics. No metrics are reported when it is nil.
	Scope tally.Scope
	// Dial opens connections to targets. The default is a net.Dialer.
	Dial Dial
}

// Manager holds the targets attached to this host. It is safe for concurrent use.
type Manager struct {
	options ManagerOptions
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// startMu ensures that no task starts after Close has begun to wait for tasks.
	startMu sync.Mutex

	mu               sync.RWMutex
	closed           bool
	attached         map[string]*AttachedTarget
	detached         map[string]*detachedTarget
	inFlightRequests map[string]*inFlightRequests
	notices          notices
}

// NewManager returns a Manager without targets.
func NewManager(options ManagerOptions) *Manager {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.OnShardReleased == nil {
		options.OnShardReleased = func(string, *schemav1.ShardRecord) {}
	}
	if options.OnAttachmentReleased == nil {
		options.OnAttachmentReleased = func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		options: options, ctx: ctx, cancel: cancel, attached: map[string]*AttachedTarget{},
		detached: map[string]*detachedTarget{}, inFlightRequests: map[string]*inFlightRequests{},
	}
}

// background runs task in a goroutine. Its context ends when the manager closes, after which no further task is started.
func (m *Manager) background(task func(ctx context.Context)) {
	m.startMu.Lock()
	defer m.startMu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	m.tasks.Go(func() { task(m.ctx) })
}

func (m *Manager) remainingLease() time.Duration { return m.options.RemainingLease() }

// Sync updates the attached targets from the ownership table. records are the targets attached to this host, and shards
// returns the shards of a target. When Sync returns, new shards are pending or granted and moving shards take no new
// requests. Grants and revocations are sent to the targets in the background.
func (m *Manager) Sync(_ context.Context, records []*schemav1.TargetRecord, shards func(target string) []*schemav1.ShardRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	seen := make(map[string]bool, len(records))
	for _, record := range records {
		name := record.GetAnnouncement().GetTarget()
		if record.GetLost() {
			continue
		}
		seen[name] = true
		a := m.ensureAttached(name, record)
		a.setShards(shards(name))
		a.renewGrants()
	}
	for name, a := range m.attached {
		if !seen[name] {
			a.close()
			delete(m.attached, name)
			m.detach(name, a)
		}
	}
	m.pruneInFlightRequests()
}

// ensureAttached returns the attached target for record. A new attachment, or a new boot of a target that was
// unreachable, gets a new AttachedTarget, because the old one must never send again.
func (m *Manager) ensureAttached(name string, record *schemav1.TargetRecord) *AttachedTarget {
	a, ok := m.attached[name]
	if ok && a.isReusableFor(record) {
		a.update(record)
		return a
	}
	if ok {
		a.close()
	}
	announcement := record.GetAnnouncement()
	a = &AttachedTarget{
		manager: m, gate: m.options.NewGate(record), record: record, pool: newTargetPool(announcement, m.options.Dial),
		shardGrants: map[shardID]*shardGrant{}, inFlightRequests: m.inFlightRequestsOf(name),
	}
	now := m.options.Clock()
	a.health.slotTimeAt, a.health.reportedAt = now, now
	a.targetClock.set(announcement.GetClockMs(), now)
	m.attached[name] = a
	pool := a.pool
	_, preconnect := connectionPlan(announcement)
	m.background(func(ctx context.Context) { pool.Preconnect(ctx, announcement.GetAddress(), preconnect) })
	return a
}

// inFlightRequestsOf returns the requests in flight at a target, including those that began under earlier attachments.
func (m *Manager) inFlightRequestsOf(name string) *inFlightRequests {
	found, ok := m.inFlightRequests[name]
	if !ok {
		found = newInFlightRequests()
		m.inFlightRequests[name] = found
	}
	return found
}

// pruneInFlightRequests removes the entries of targets that are no longer attached and have no requests in flight.
func (m *Manager) pruneInFlightRequests() {
	for name, inFlightRequests := range m.inFlightRequests {
		if _, ok := m.attached[name]; !ok && inFlightRequests.count(func(*InFlightRequest) bool { return true }) == 0 {
			delete(m.inFlightRequests, name)
		}
	}
}

// connectionPlan divides the announced number of connections into the limit of the pool, the connections opened before
// they are needed, and one for probes. Connections are opened early only if the target allows many more than it has slots.
func connectionPlan(announcement *schemav1.Announcement) (pool, preconnect int) {
	pool = int(announcement.GetMaxConnections()) - 1
	if slots := int(announcement.GetSlots()); pool >= 4*slots {
		pool, preconnect = pool-slots, slots
	}
	return max(1, pool), preconnect
}

func newTargetPool(announcement *schemav1.Announcement, dial Dial) *Pool {
	limit, _ := connectionPlan(announcement)
	return NewPool(PoolOptions{
		MaxConnections: limit,
		// One more idle connection than slots, for grants.
		MaxIdle: int(announcement.GetSlots()) + 1,
		Dial:    dial,
	})
}

// isReusableFor reports whether this AttachedTarget can continue to serve record: the attachment is the same and, if the
// target was unreachable, so is its boot.
func (a *AttachedTarget) isReusableFor(record *schemav1.TargetRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.GetAttachment() == record.GetAttachment() &&
		(a.record.GetAnnouncement().GetBootId() == record.GetAnnouncement().GetBootId() || !a.health.isUnreachable())
}

// update applies the target's new announcement. Requests in flight continue.
func (a *AttachedTarget) update(record *schemav1.TargetRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, next := a.record.GetAnnouncement(), record.GetAnnouncement()
	a.record = record
	if old.GetAddress() != next.GetAddress() || old.GetMaxConnections() != next.GetMaxConnections() ||
		old.GetSlots() != next.GetSlots() {
		a.pool.Close()
		a.pool = newTargetPool(next, a.manager.options.Dial)
	}
	if old.GetBootId() != next.GetBootId() || old.GetSlots() != next.GetSlots() {
		a.gate.Boot(next.GetBootId(), next.GetSlots())
	}
	if old.GetBootId() != next.GetBootId() {
		a.targetClock.set(next.GetClockMs(), a.manager.options.Clock())
	}
	if old.GetBootId() != next.GetBootId() || old.GetCapabilities().GetFence() != next.GetCapabilities().GetFence() {
		a.resetGrants()
	}
}

// resetGrants makes all pending and active grants pending, because a restarted target holds none. Targets that do not
// check fences need no grants, so theirs become active at once. The caller must hold a.mu.
func (a *AttachedTarget) resetGrants() {
	state := grantActive
	if a.record.GetAnnouncement().GetCapabilities().GetFence() {
		state = grantPending
	}
	for _, sg := range a.shardGrants {
		if sg.state <= grantActive {
			sg.state = state
		}
	}
}

func (a *AttachedTarget) close() {
	a.mu.Lock()
	a.closed = true
	pool := a.pool
	a.mu.Unlock()
	a.inFlightRequests.notify()
	pool.Close()
}

// AttachedTarget returns the target with the given name if it is attached to this host.
func (m *Manager) AttachedTarget(target string) (*AttachedTarget, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.attached[target]
	return a, ok
}

func (m *Manager) attachedTargets() []*AttachedTarget {
	m.mu.RLock()
	defer m.mu.RUnlock()
	attachedTargets := make([]*AttachedTarget, 0, len(m.attached))
	for _, a := range m.attached {
		attachedTargets = append(attachedTargets, a)
	}
	return attachedTargets
}

// RenewGrants renews the grants of all targets, probes unresponsive targets and reports unconfirmed shard releases again. The
// host calls it after each renewal of its lease.
func (m *Manager) RenewGrants() {
	for _, a := range m.attachedTargets() {
		a.renewGrants()
		a.probeIfUnresponsive()
		for _, record := range a.unconfirmedReleases() {
			m.options.OnShardReleased(a.Name(), record)
		}
	}
}

// TakeReports returns a report of each target since the last call, for the next renewal of the host's lease. A target
// that was reported as unreachable gets no more grants or requests until it is attached again.
func (m *Manager) TakeReports() []*schemav1.TargetReport {
	now := m.options.Clock()
	reports := m.detachedReports(now)
	for _, a := range m.attachedTargets() {
		announcement := a.Record().GetAnnouncement()
		report := &schemav1.TargetReport{Target: announcement.GetTarget(), BootId: announcement.GetBootId()}
		a.health.report(now, announcement.GetSlots(), report)
		report.Warm, report.Leaving = a.isWarm(), a.isLeaving()
		reports = append(reports, report)
		m.options.Scope.Tagged(map[string]string{metrics.TagTarget: report.GetTarget()}).
			Gauge(metrics.TargetConnections).Update(float64(a.OpenConnections()))
	}
	return reports
}

// Close closes all targets and waits for the background tasks to end.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	for _, a := range m.attached {
		a.close()
	}
	m.mu.Unlock()
	m.startMu.Lock()
	m.cancel()
	m.startMu.Unlock()
	m.tasks.Wait()
}
