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
	// voterSilence is how long a voter must be silent before the leader removes it from the group.
	voterSilence = 10 * time.Second
	// measureInterval is the resolution of unavailable time.
	measureInterval = 500 * time.Millisecond
	// maxProposals bounds commands of one step that wait for their commit together.
	maxProposals = 64
)

// group is this host's membership in one generation of its data centre group.
type group struct {
	host       *Host
	assignment *schemav1.GroupAssignment
	table      *ownership.Table
	replica    *replication.Replica

	// synced is the log index up to which the attached targets follow the table. Lease renewals report it: a host that
	// has applied the loss of an attachment, but still sends, must not count as stopped.
	synced atomic.Uint64

	mu     sync.Mutex
	driver *ownership.Driver
	term   uint64
	// measures are used by the leader loop only.
	measures measures
	// memberSince tells when a change of members was last tried, so that a refused one is not repeated at once.
	memberSince time.Duration
}

// startGroup starts the generation of assignment. Hosts that are not among its voters wait for the leader to add them.
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

// leads reports whether this host leads the group and has applied everything up to its own term.
func (g *group) leads() (*ownership.Driver, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.driver, g.driver != nil
}

// markSynced raises the index up to which the attached targets follow the table.
func (g *group) markSynced(applied uint64) {
	for {
		current := g.synced.Load()
		if applied <= current || g.synced.CompareAndSwap(current, applied) {
			return
		}
	}
}

// step runs one round of the leader, or drops the driver when the leadership is over.
func (g *group) step(ctx context.Context) {
	status := g.replica.Status()
	if status.Role != raft.Leader {
		g.setDriver(nil, 0)
		return
	}
	// No earlier leader has granted a lease after this time: its own lease ended before this election.
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
	if now-g.measures.reportedAt >= measureInterval {
		g.measure(now)
	}
	g.maintainMembers(ctx, g.replica.Status())
}

// becomeLeader makes the driver of a new term once the table shows everything that earlier leaders committed.
func (g *group) becomeLeader(ctx context.Context, term uint64, elected time.Duration) (*ownership.Driver, bool) {
	if err := g.replica.ReadBarrier(ctx); err != nil {
		return nil, false
	}
	driver := ownership.NewDriver(g.table, func() time.Duration { return elected }, ownership.Options{
		HoldsLeaderLease: g.replica.HoldsLease,
		WallClock:        time.Now,
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

// proposeAll proposes commands in order and waits for all of them, for callTimeout at most: without a majority a proposal
// has no outcome, and the loops that propose must go on, above all the one that tells the control group about it.
func (g *group) proposeAll(ctx context.Context, commands []*schemav1.GroupCommand) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for batch := range slices.Chunk(commands, maxProposals) {
		var wait sync.WaitGroup
		for _, command := range batch {
			data, err := proto.Marshal(command)
			if err != nil {
				continue
			}
			wait.Go(func() {
				// The driver repeats what was lost, so an error needs no handling.
				_, _ = g.replica.Propose(ctx, data)
			})
		}
		wait.Wait()
	}
}

// maintainMembers adds hosts of the data centre as learners, promotes one that has caught up while there are too few
// voters, and removes voters whose process is gone. It changes one member at a time.
func (g *group) maintainMembers(ctx context.Context, status replication.Status) {
	now := g.host.clock()
	if now-g.memberSince < lease.RenewInterval {
		return
	}
	g.memberSince = now
	hosts := g.hosts()
	if change := nextMemberChange(status, hosts); change != nil {
		if err := change(ctx, g.replica); err != nil {
			klog.V(2).InfoS("member change refused", "host", g.host.settings.GetName(), "err", err)
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

// memberChange is one change of the group's members.
type memberChange func(ctx context.Context, replica *replication.Replica) error

// nextMemberChange decides on at most one change. A lost voter is removed only when its replacement has caught up or
// when it was silent for long, and never from a group of two, which counts on that rule when it is sealed.
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
		gone := len(hosts) > 0 && hosts[member.ID] == nil
		silentVoter := !member.Learner && member.SinceLastResponse > voterSilence
		if (gone || silentVoter) && member.ID != status.ID && (member.Learner || voters > 2) {
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
