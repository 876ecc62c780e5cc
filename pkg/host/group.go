package host

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/control"
	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// voterTimeout is the time without a response after which the leader removes a voter from the group.
	voterTimeout = 10 * time.Second
	// metricsInterval is the interval of the group metrics, and so the resolution of the unavailable time.
	metricsInterval = 500 * time.Millisecond
	// maxConcurrentProposals limits the commands of one step that wait for their commit at the same time.
	maxConcurrentProposals = 64
)

// group is this host's membership in one generation of its data centre group.
type group struct {
	host       *Host
	assignment *schemav1.GroupAssignment
	table      *ownership.Table
	replica    *replication.Replica

	// syncedIndex is the log index up to which the attached targets have been updated from the table. Lease renewals report
	// it, because a host that has applied the loss of an attachment but still sends must not count as stopped.
	syncedIndex atomic.Uint64

	mu     sync.Mutex
	driver *ownership.Driver
	term   uint64
	// groupMetrics is used by the leader loop only.
	groupMetrics groupMetrics
	// memberChangeTriedAt is when a member change was last considered, so that a refused one is not repeated at once.
	memberChangeTriedAt time.Duration
}

// startGroup starts a replica of the generation of assignment. A host that is not among its voters waits until the leader
// adds it.
func (h *Host) startGroup(assignment *schemav1.GroupAssignment) (*group, error) {
	dataCentre := h.settings.GetDataCentre()
	table := ownership.NewTable(dataCentre, assignment.GetGeneration())
	var initial []*schemav1.Member
	if slices.ContainsFunc(assignment.GetVoters(), func(m *schemav1.Member) bool { return m.GetId() == h.identity }) {
		initial = assignment.GetVoters()
	}
	options := replication.Options{
		ID:             h.identity,
		Address:        h.addresses.rpc,
		Group:          dataCentre,
		Generation:     assignment.GetGeneration(),
		InitialMembers: initial,
		Storage:        replication.NewMemoryStorage(),
		Transport:      h.transport,
		StateMachine:   table,
	}
	if initial != nil {
		options.InitialSnapshot = assignment.GetSealedState()
	}
	replica, err := replication.New(options)
	if err != nil {
		return nil, err
	}
	klog.InfoS("joined data centre group", "host", h.settings.GetName(), "dataCentre", dataCentre,
		"generation", assignment.GetGeneration(), "voter", initial != nil)
	return &group{host: h, assignment: assignment, table: table, replica: replica}, nil
}

// leads returns the driver and true when this host leads the group and has applied all entries of earlier terms.
func (g *group) leads() (*ownership.Driver, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.driver, g.driver != nil
}

// advanceSyncedIndex raises syncedIndex to applied. It never lowers it.
func (g *group) advanceSyncedIndex(applied uint64) {
	for {
		current := g.syncedIndex.Load()
		if applied <= current || g.syncedIndex.CompareAndSwap(current, applied) {
			return
		}
	}
}

// step runs one iteration of the leader's decisions, or drops the driver when this host is not the leader.
func (g *group) step(ctx context.Context) {
	status := g.replica.Status()
	if status.Role != raft.Leader {
		g.setDriver(nil, 0)
		return
	}
	// No earlier leader has granted a lease after this time, because its own lease ended before this election.
	elected := g.host.clock()
	driver, ok := g.leads()
	if !ok || g.term != status.Term {
		if driver, ok = g.becomeLeader(ctx, status.Term, elected); !ok {
			return
		}
	}
	now := g.host.clock()
	commands := driver.Step(now)
	g.countMoves(commands)
	g.proposeAll(ctx, commands)
	if now-g.groupMetrics.reportedAt >= metricsInterval {
		g.reportMetrics(now)
	}
	g.maintainMembers(ctx, g.replica.Status())
}

// becomeLeader creates the driver of a new term once the table contains everything that earlier leaders committed.
func (g *group) becomeLeader(ctx context.Context, term uint64, elected time.Duration) (*ownership.Driver, bool) {
	if err := g.replica.ReadBarrier(ctx); err != nil {
		return nil, false
	}
	driver := ownership.NewDriver(g.table, func() time.Duration { return elected }, ownership.Options{
		HoldsLeaderLease: g.replica.HoldsLease,
		DecisionLog:      g.host.decisions,
	})
	g.setDriver(driver, term)
	g.host.decisions.LogPlacement(&decisionlog.PlacementDecision{Kind: "group", To: g.host.settings.GetName(), Reason: "became leader"})
	return driver, true
}

func (g *group) setDriver(driver *ownership.Driver, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.driver, g.term = driver, term
}

// proposeAll proposes commands and waits for their outcomes, for callTimeout at most. Without a majority a proposal has no
// outcome, and the loops that propose must continue, above all the one that reports to the control group.
func (g *group) proposeAll(ctx context.Context, commands []*schemav1.GroupCommand) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for batch := range slices.Chunk(commands, maxConcurrentProposals) {
		var wait sync.WaitGroup
		for _, command := range batch {
			data, err := proto.Marshal(command)
			if err != nil {
				continue
			}
			wait.Go(func() {
				// Errors are ignored, because the driver repeats commands that were lost.
				_, _ = g.replica.Propose(ctx, data)
			})
		}
		wait.Wait()
	}
}

// maintainMembers adds hosts of the data centre as learners, promotes a learner that has caught up while there are too few
// voters, and removes members whose host has left and voters that do not respond. It changes at most one member per
// lease.RenewInterval.
func (g *group) maintainMembers(ctx context.Context, status replication.Status) {
	now := g.host.clock()
	if now-g.memberChangeTriedAt < lease.RenewInterval {
		return
	}
	g.memberChangeTriedAt = now
	hosts := g.hosts()
	if change := nextMemberChange(status, hosts); change != nil {
		if err := change(ctx, g.replica); err != nil {
			klog.V(2).InfoS("member change of the data centre group failed", "host", g.host.settings.GetName(), "err", err)
		}
	}
}

// hosts returns the hosts of this data centre by identity.
func (g *group) hosts() map[uint64]*schemav1.Host {
	hosts := map[uint64]*schemav1.Host{}
	for _, host := range g.table.ControlView().GetHosts() {
		if host.GetDataCentre() == g.table.DataCentre() {
			hosts[host.GetIdentity()] = host
		}
	}
	return hosts
}

// memberChange makes one change of a group's members.
type memberChange func(ctx context.Context, replica *replication.Replica) error

// nextMemberChange returns the next change, or nil. A learner that has caught up is promoted before any voter is removed. A
// voter is removed when its host has left or it has not responded for voterTimeout, but never from a group of two voters,
// because sealing relies on that rule.
func nextMemberChange(status replication.Status, hosts map[uint64]*schemav1.Host) memberChange {
	known := map[uint64]bool{}
	voters := 0
	for _, member := range status.Members {
		known[member.ID] = true
		if !member.Learner {
			voters++
		}
	}
	for _, member := range status.Members {
		if member.Learner && member.CaughtUp && hosts[member.ID] != nil && voters < control.VoterCount(len(hosts)) {
			return func(ctx context.Context, r *replication.Replica) error { return r.Promote(ctx, member.ID) }
		}
	}
	for _, member := range status.Members {
		hostLeft := len(hosts) > 0 && hosts[member.ID] == nil
		unresponsiveVoter := !member.Learner && member.SinceLastResponse > voterTimeout
		if (hostLeft || unresponsiveVoter) && member.ID != status.ID && (member.Learner || voters > 2) {
			return func(ctx context.Context, r *replication.Replica) error { return r.Remove(ctx, member.ID) }
		}
	}
	for id, host := range hosts {
		if !known[id] {
			return func(ctx context.Context, r *replication.Replica) error {
				return r.AddLearner(ctx, id, host.GetRpcAddress())
			}
		}
	}
	return nil
}
