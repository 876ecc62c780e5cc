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
	// RemainingLease is what is left of this host's lease; zero or less when it is over.
	RemainingLease func() time.Duration
	// NewGate makes the admission control of a target.
	NewGate func(record *schemav1.TargetRecord) Gate
	// OnShardReleased is called when a moving shard is stopped, drained and revoked. It is called again on each Renew until
	// the table shows the move as finished, so a lost call does no harm.
	OnShardReleased func(target string, shard *schemav1.ShardRecord)
	// OnAttachmentReleased is called when nothing is in flight any more at a target whose attachment was lost, so that the host can
	// report it at once.
	OnAttachmentReleased func()
	// Scope takes the metrics; none when nil.
	Scope tally.Scope
	// Dial opens connections to targets; a net.Dialer when nil.
	Dial Dial
}

// Manager holds the targets attached to this host. It is safe for concurrent use.
type Manager struct {
	options ManagerOptions
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// starting orders new tasks before the wait in Close.
	starting sync.Mutex

	mu       sync.RWMutex
	closed   bool
	attached map[string]*AttachedTarget
	detached map[string]*detachedTarget
	flights  map[string]*flights
}

// NewManager returns a manager without targets.
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
		detached: map[string]*detachedTarget{}, flights: map[string]*flights{},
	}
}

// background runs task until it ends or the manager closes.
func (m *Manager) background(task func(ctx context.Context)) {
	m.starting.Lock()
	defer m.starting.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	m.tasks.Go(func() { task(m.ctx) })
}

func (m *Manager) lease() time.Duration { return m.options.RemainingLease() }

// Sync brings the attached targets in line with the table: records are those attached to this host, shards returns the
// shards of a target. New shards are granted and moving ones stopped before Sync returns; requests to targets go on in
// the background.
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
		a := m.ensure(name, record)
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
	m.forgetFlights()
}

// ensure returns the attached target for record. A new attachment or boot of a target that was unreachable starts
// afresh, because the old one must never send again.
func (m *Manager) ensure(name string, record *schemav1.TargetRecord) *AttachedTarget {
	a, ok := m.attached[name]
	if ok && a.renewable(record) {
		a.update(record)
		return a
	}
	if ok {
		a.close()
	}
	announcement := record.GetAnnouncement()
	a = &AttachedTarget{
		manager: m, gate: m.options.NewGate(record), record: record, pool: newTargetPool(announcement, m.options.Dial),
		units: map[unitID]*unit{}, flights: m.flightsOf(name),
	}
	now := m.options.Clock()
	a.health.changed, a.health.reported = now, now
	a.clock.set(announcement.GetClockMs(), now)
	m.attached[name] = a
	pool := a.pool
	_, warm := connectionPlan(announcement)
	m.background(func(ctx context.Context) { pool.Preconnect(ctx, announcement.GetAddress(), warm) })
	return a
}

// flightsOf returns the requests in flight at a target, also those of earlier attachments.
func (m *Manager) flightsOf(name string) *flights {
	found, ok := m.flights[name]
	if !ok {
		found = newFlights()
		m.flights[name] = found
	}
	return found
}

// forgetFlights drops the lists of targets that are gone and have nothing in flight.
func (m *Manager) forgetFlights() {
	for name, flights := range m.flights {
		if _, ok := m.attached[name]; !ok && flights.count(func(*InFlightRequest) bool { return true }) == 0 {
			delete(m.flights, name)
		}
	}
}

// connectionPlan divides the announced connections: the pool, those opened ahead, and one for a probe. Connections are
// opened ahead only where plenty are left.
func connectionPlan(announcement *schemav1.Announcement) (pool, warm int) {
	pool = int(announcement.GetMaxConnections()) - 1
	if slots := int(announcement.GetSlots()); pool >= 4*slots {
		pool, warm = pool-slots, slots
	}
	return max(1, pool), warm
}

func newTargetPool(announcement *schemav1.Announcement, dial Dial) *Pool {
	limit, _ := connectionPlan(announcement)
	return NewPool(PoolOptions{
		MaxConnections: limit,
		// One idle connection more than slots carries grants.
		MaxIdle: int(announcement.GetSlots()) + 1,
		Dial:    dial,
	})
}

// renewable reports whether the same Attached serves record.
func (a *AttachedTarget) renewable(record *schemav1.TargetRecord) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.GetAttachment() == record.GetAttachment() &&
		(a.record.GetAnnouncement().GetBootId() == record.GetAnnouncement().GetBootId() || !a.health.isUnreachable())
}

// update takes over what the target announces of itself. Requests in flight go on.
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
		a.clock.set(next.GetClockMs(), a.manager.options.Clock())
	}
	if old.GetBootId() != next.GetBootId() || old.GetCapabilities().GetFence() != next.GetCapabilities().GetFence() {
		a.forgetGrants()
	}
}

// forgetGrants makes all units wait for a new grant, as a restarted target holds none. A target that checks no fences
// needs none. It needs the lock.
func (a *AttachedTarget) forgetGrants() {
	state := unitGranted
	if a.record.GetAnnouncement().GetCapabilities().GetFence() {
		state = unitPending
	}
	for _, u := range a.units {
		if u.state <= unitGranted {
			u.state = state
		}
	}
}

func (a *AttachedTarget) close() {
	a.mu.Lock()
	a.closed = true
	pool := a.pool
	a.mu.Unlock()
	a.flights.notify()
	pool.Close()
}

// AttachedTarget returns the target with the given name if it is attached to this host.
func (m *Manager) AttachedTarget(target string) (*AttachedTarget, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	a, ok := m.attached[target]
	return a, ok
}

func (m *Manager) all() []*AttachedTarget {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*AttachedTarget, 0, len(m.attached))
	for _, a := range m.attached {
		all = append(all, a)
	}
	return all
}

// RenewGrants renews the grants of all targets. The host calls it after each renewal of its lease.
func (m *Manager) RenewGrants() {
	for _, a := range m.all() {
		a.renewGrants()
		a.probeIfSilent()
		for _, record := range a.pendingReleases() {
			m.options.OnShardReleased(a.Name(), record)
		}
	}
}

// TakeReports returns what was seen of each target since the last call, for the next renewal of the host's lease. A target
// that was reported as unreachable gets no more grants or work until it is attached again.
func (m *Manager) TakeReports() []*schemav1.TargetReport {
	now := m.options.Clock()
	reports := m.detachedReports(now)
	for _, a := range m.all() {
		announcement := a.Record().GetAnnouncement()
		report := &schemav1.TargetReport{Target: announcement.GetTarget(), BootId: announcement.GetBootId()}
		a.health.report(now, announcement.GetSlots(), report)
		report.Warm = a.isWarm()
		reports = append(reports, report)
		m.options.Scope.Tagged(map[string]string{metrics.TagTarget: report.GetTarget()}).
			Gauge(metrics.TargetConnections).Update(float64(a.OpenConnections()))
	}
	return reports
}

// Close stops all targets and waits for what runs in the background.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	for _, a := range m.attached {
		a.close()
	}
	m.mu.Unlock()
	m.starting.Lock()
	m.cancel()
	m.starting.Unlock()
	m.tasks.Wait()
}
