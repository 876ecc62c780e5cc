package registrar

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/grants"
	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/internal/pauses"
	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/memory"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/quota"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/replication"
	"almondrock.example/almondrock/pkg/routes"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// Timing of the Raft group. Hosts have a quarter of a core, and a round trip between regions takes 24 ms.
const (
	tickInterval   = 25 * time.Millisecond
	heartbeatTicks = 4
	// electionMinTicks is at least three heartbeat intervals, and longer than a sync on a disk that is 25 times slower than usual.
	electionMinTicks = 12
	electionMaxTicks = 20
	// learnerHeartbeatTicks is below electionMinTicks, so that a learner keeps knowing its leader.
	learnerHeartbeatTicks = 8
	// stepInterval is the time between two passes of the main loop, in which the leader makes its decisions.
	stepInterval = 100 * time.Millisecond
	// joinRetryInterval is the pause between attempts to join the group.
	joinRetryInterval = 200 * time.Millisecond
	// maxDialBackOff is the maximum pause between attempts to connect to a host. When all hosts start again after they were down at
	// the same time, each pause delays the election of a leader.
	maxDialBackOff = 100 * time.Millisecond
	// rejoinTimeout is how long a member is not up to date before it asks to join again, because it may have been removed. A removed learner
	// goes on knowing its last leader.
	rejoinTimeout = time.Second
	// forwardTimeout is the timeout of a call to another registry host. It is below the second after which callers use another host.
	forwardTimeout = 800 * time.Millisecond
	// retryInterval is the pause before a failed proposal or read is retried.
	retryInterval = 50 * time.Millisecond
	// groupName is the name of the group in batches of Raft messages.
	groupName = "registry"
)

// Options configures a Registrar.
type Options struct {
	Name       string
	DataCentre string
	// Regions has the region of each data centre.
	Regions map[string]string
	// PeerAddress is the address for calls from other hosts, AnnounceAddress the one for announcements of targets.
	PeerAddress, AnnounceAddress string
	// ListenAddress is the address at which this host accepts calls from other hosts; empty if it is PeerAddress.
	ListenAddress string
	// Seeds are the peer addresses of some registry hosts.
	Seeds []string
	// Bootstrap is set when the whole deployment starts for the first time. The seeds then form the group.
	Bootstrap bool
	// FaultTolerance is the number of registry hosts that may be lost at the same time.
	FaultTolerance int
	DataDir        string
	// Decode decodes an accepted configuration.
	Decode func(*schemav1.RouteDocument) (*routes.Configuration, error)
	// Granter makes the calls to targets about keys while this host is the leader.
	Granter grants.Granter
	// QuotaTolerance is how far the requests of a tenant may exceed its rate and burst.
	QuotaTolerance quota.Tolerance
	// MaxPeers bounds the connections of other hosts; the default of pkg/rpc when 0.
	MaxPeers int
	// Budget bounds the memory that is held for other hosts; it may be nil.
	Budget *memory.Budget
	// listener replaces a new one at the address in tests.
	listener net.Listener
	// fileSystem replaces DataDir in tests.
	fileSystem wal.FS
	// pauseClock replaces pauses.BootClock in tests.
	pauseClock func() time.Duration
	// clock replaces the default clock of the replica in tests.
	clock clockwork.Clock
}

// Registrar is a registry host.
type Registrar struct {
	options       Options
	state         *registry.State
	log           *wal.Log
	id            uint64
	fresh         bool
	client        rpc.Client
	server        *rpc.Server
	metrics       *metrics.Registry
	watchers      watchers
	keyLoads      keyLoads
	quotas        quotas
	announcements registry.AnnouncementOrder
	fullViews     registry.FullViews
	registrations registrations
	reachability  reachability
	pauses        *pauses.Detector
	orders        orderCommitter
	forming       forming
	ctx           context.Context
	cancel        context.CancelFunc
	tasks         sync.WaitGroup
	started       time.Time

	mu      sync.Mutex
	replica *replication.Replica
	decoded *routes.Configuration
	failed  chan error
	// recordingSelf is set while this host records its own addresses in the registry.
	recordingSelf atomic.Bool
	// removingDeparted is set while this host removes a registry host that has left.
	removingDeparted atomic.Bool
	// endingExpectedCold is set while this host records targets as warm that were expected to be cold.
	endingExpectedCold atomic.Bool
	// rejoining is set while this host asks to join the group again.
	rejoining atomic.Bool
	// wasUpToDate is whether this host was up to date in the last pass of the main loop.
	wasUpToDate bool
}

// New opens the data directory and determines the identity of this host. Start must be called for it to serve. While the disk is full,
// New waits for room until ctx ends.
func New(ctx context.Context, options Options) (*Registrar, error) {
	log, err := member.Open(ctx, filepath.Join(options.DataDir, "registry"), wal.Options{FS: options.fileSystem})
	if err != nil {
		return nil, err
	}
	state, err := log.Load()
	if err != nil {
		return nil, err
	}
	if options.pauseClock == nil {
		options.pauseClock = pauses.BootClock
	}
	r := &Registrar{
		options: options, state: registry.NewState(), log: log, fresh: member.IsEmpty(replication.PersistentState(state)),
		client: rpc.NewClient(rpc.ClientOptions{BackoffMax: maxDialBackOff}), server: rpc.NewServer(rpc.ServerOptions{MaxConnections: options.MaxPeers, Budget: options.Budget}),
		started: time.Now(), failed: make(chan error, 1), metrics: metrics.New(options.Name, options.DataCentre),
		pauses: pauses.New(options.pauseClock), forming: forming{formed: make(chan struct{})},
	}
	r.orders = orderCommitter{pauses: r.pauses, sleep: monotonic.Sleep, read: r.readCurrent, propose: r.proposeWithRetry}
	r.state.OnEvacuationOrder(r.logEvacuationOrder)
	initialID := uint64(0)
	if options.Bootstrap && slices.Contains(options.Seeds, options.PeerAddress) {
		initialID = bootstrapID(options.PeerAddress)
	}
	if r.id, err = member.Identity(ctx, log, initialID); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.registrations.propose = func(command *schemav1.RegistryCommand) error {
		_, err := r.proposeWithRetry(r.ctx, command)
		return err
	}
	r.registrations.start = func(f func()) { r.start("commit registrations", f) }
	r.registerHandlers()
	return r, nil
}

// bootstrapID returns the member ID of one of the members that form the group, which the others derive from its address. A host that
// lost its disk joins with a different, random ID.
func bootstrapID(address string) uint64 { return xxhash.Sum64String("first member " + address) }

// SetSeeds replaces the peer addresses at which this host asks to join the group.
func (r *Registrar) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Seeds = slices.Clone(seeds)
}

func (r *Registrar) seeds() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.options.Seeds)
}

// Metrics returns a handler that serves the metrics of this host as text.
func (r *Registrar) Metrics() http.Handler { return r.metrics.Handler }

// RecordRefusal counts a caller that is refused, or whose connection is closed, because of a limit.
func (r *Registrar) RecordRefusal(reason string) { r.metrics.RecordRefusal(reason) }

// Failed returns a channel that receives the error with which this host's replica could not start or stopped by itself.
func (r *Registrar) Failed() <-chan error { return r.failed }

// Start listens for calls from other hosts and joins the group in the background.
func (r *Registrar) Start() error {
	listener := r.options.listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", cmp.Or(r.options.ListenAddress, r.options.PeerAddress)); err != nil {
			return merry.Wrap(err)
		}
	}
	r.tasks.Go(func() {
		if err := r.server.Serve(listener); err != nil {
			klog.V(1).InfoS("RPC server stopped", "err", err)
		}
	})
	r.tasks.Go(func() { r.pauses.Run(r.ctx) })
	r.tasks.Go(func() {
		// After a panic the state of the member is unknown, so the process ends and starts again from its log.
		if err := guard.Run("registry member", r.run); err != nil {
			r.failed <- err
		}
	})
	return nil
}

// Stop transfers leadership if this host is the leader, and stops it.
func (r *Registrar) Stop() {
	if replica := r.currentReplica(); replica != nil {
		r.transferLeadership(replica)
	}
	r.cancel()
	if err := r.server.Close(); err != nil {
		klog.V(1).InfoS("RPC server not closed", "err", err)
	}
	r.tasks.Wait()
	if err := r.client.Close(); err != nil {
		klog.V(1).InfoS("RPC client not closed", "err", err)
	}
}

// transferLeadership transfers leadership to another voter, so that a planned stop needs no election.
func (r *Registrar) transferLeadership(replica *replication.Replica) {
	status := replica.Status()
	if status.Role != raft.Leader {
		return
	}
	for _, m := range status.Members {
		if m.ID == status.ID || m.Learner || m.SinceLastResponse > responsiveTimeout {
			continue
		}
		ctx, cancel := context.WithTimeout(r.ctx, forwardTimeout)
		err := replica.TransferLeadership(ctx, m.ID)
		cancel()
		klog.InfoS("leadership transfer", "to", m.Address, "err", err)
		if err == nil {
			time.Sleep(2 * heartbeatTicks * tickInterval)
			return
		}
	}
}

// recordDiskFull records in the metrics whether the disk is full.
func (r *Registrar) recordDiskFull(full bool) {
	value := 0.0
	if full {
		value = 1
	}
	r.metrics.Scope.Gauge(metrics.DiskFull).Update(value)
}

// currentReplica returns the replica of this host, or nil before it has joined the group.
func (r *Registrar) currentReplica() *replication.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

// run joins the group, starts the replica and runs it until this host is stopped or the replica fails.
func (r *Registrar) run() error {
	var initial []*schemav1.Member
	if r.fresh {
		if r.id == bootstrapID(r.options.PeerAddress) {
			for _, seed := range r.seeds() {
				initial = append(initial, &schemav1.Member{Id: bootstrapID(seed), Address: seed})
			}
		} else if !r.joinGroup() {
			return nil
		}
	}
	replica, err := replication.New(replication.Options{
		ID: r.id, Address: r.options.PeerAddress, Group: groupName, InitialMembers: initial,
		Storage: member.NewStorage(r.ctx, r.log, r.recordDiskFull), Transport: member.NewTransport(r.ctx, r.client, &r.tasks),
		StateMachine: r.state, Clock: r.options.clock, Tick: tickInterval,
		Raft: raft.Config{
			ElectionMinTicks: electionMinTicks, ElectionMaxTicks: electionMaxTicks, HeartbeatTicks: heartbeatTicks,
			LearnerHeartbeatTicks: learnerHeartbeatTicks,
		},
	})
	if err != nil {
		return err
	}
	klog.InfoS("started as a member of the registry", "host", r.options.Name, "id", r.id, "fresh", r.fresh, "initialMembers", len(initial))
	r.mu.Lock()
	r.replica = replica
	r.mu.Unlock()
	defer replica.Stop()
	return r.lead(replica)
}

// self returns the entry of this host in the registry.
func (r *Registrar) self() *schemav1.RegistryHost {
	return &schemav1.RegistryHost{
		Name: r.options.Name, DataCentre: r.options.DataCentre,
		PeerAddress: r.options.PeerAddress, AnnounceAddress: r.options.AnnounceAddress, CommandFormat: registry.OrderedAnnouncements,
	}
}

// start runs a task in the background.
func (r *Registrar) start(task string, f func()) {
	r.tasks.Go(func() { guard.Do(task, f) })
}

// call makes a call to another host with forwardTimeout.
func (r *Registrar) call(address, method string, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(r.ctx, forwardTimeout)
	defer cancel()
	return r.client.Call(ctx, address, method, request, response)
}

// lead is the main loop of a member. It makes the decisions of the leader while this host is the leader, forwards key loads to the
// leader otherwise, and keeps this host's own membership and addresses up to date.
func (r *Registrar) lead(replica *replication.Replica) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	lead := leadership{registrar: r, replica: replica}
	defer lead.end()
	upToDateAt := time.Now()
	knownLeader := uint64(0)
	r.forming.update(replica.Status(), r.options.FaultTolerance)
	for {
		select {
		case <-r.ctx.Done():
			return nil
		case <-replica.Done():
			return replica.Err()
		case <-ticker.C:
		}
		status := replica.Status()
		if status.LeaderID != knownLeader {
			klog.InfoS("leader of the registry changed", "host", r.options.Name, "leader", status.LeaderAddress, "term", status.Term)
			knownLeader = status.LeaderID
		}
		r.forming.update(status, r.options.FaultTolerance)
		r.recordFreshness(status.StateAge)
		if status.StateAge <= maxStateAge {
			upToDateAt = time.Now()
		} else if time.Since(upToDateAt) > rejoinTimeout {
			upToDateAt = time.Now()
			r.rejoin()
		}
		if status.LeaderID != 0 {
			r.recordSelf()
		}
		if status.Role != raft.Leader {
			r.forwardKeyLoads(status.LeaderAddress)
		}
		lead.step(status)
		r.removeSilentEntryHosts()
	}
}

// HoldsLeaderLease implements grants.Proposer.
func (r *Registrar) HoldsLeaderLease() bool {
	replica := r.currentReplica()
	return replica != nil && replica.HoldsLease()
}

// Propose commits a command and returns its result. A host that is not the leader forwards the command to the leader. Propose
// implements grants.Proposer.
func (r *Registrar) Propose(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	replica := r.currentReplica()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	status := replica.Status()
	if status.Role == raft.Leader {
		return r.proposeTo(ctx, replica, command)
	}
	if status.LeaderAddress == "" {
		return nil, merry.Wrap(ErrNoLeader)
	}
	response := &schemav1.RegistryForwarded{}
	if err := r.client.Call(ctx, status.LeaderAddress, methodForward, &schemav1.RegistryForward{Command: command}, response); err != nil {
		return nil, err
	}
	return response.GetResult(), nil
}

// proposeTo commits a command on the replica of the leader and returns its result once enough hosts have stored it.
func (r *Registrar) proposeTo(ctx context.Context, replica *replication.Replica, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	applied, err := replica.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	if err := r.forming.await(ctx); err != nil {
		return nil, err
	}
	result := &schemav1.RegistryResult{}
	return result, merry.Wrap(proto.Unmarshal(applied, result))
}

// Configuration returns the decoded configuration that is in force on this host, or nil if there is none.
func (r *Registrar) Configuration() *routes.Configuration {
	document := r.state.Routes()
	r.mu.Lock()
	defer r.mu.Unlock()
	if document == nil || r.decoded != nil && r.decoded.Revision == document.GetRevision() {
		return r.decoded
	}
	decoded, err := r.options.Decode(document)
	if err != nil {
		klog.ErrorS(err, "accepted configuration cannot be decoded", "revision", document.GetRevision())
		return r.decoded
	}
	klog.InfoS("configuration in force", "host", r.options.Name, "revision", decoded.Revision)
	r.decoded = decoded
	return decoded
}
