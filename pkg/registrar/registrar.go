package registrar

import (
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
	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/raft"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/replication"
	"almondrock.example/almondrock/pkg/routes"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/wal"
)

// Timing of the replicated group. Hosts have a quarter of a core, and regions are 24 ms apart both ways.
const (
	tick           = 25 * time.Millisecond
	heartbeatTicks = 4
	// electionMinTicks is over three heartbeats, and over a sync on a disk that is 25 times slower than usual.
	electionMinTicks = 12
	electionMaxTicks = 20
	// learnerHeartbeatTicks is below electionMinTicks, so that a learner knows its leader.
	learnerHeartbeatTicks = 8
	// stepInterval is the time between the leader's decisions.
	stepInterval = 100 * time.Millisecond
	// joinRetry is the pause between tries to join the group.
	joinRetry = 200 * time.Millisecond
	// dialBackOff bounds the pause between dials. After all hosts were down at once, each pause delays the next leader.
	dialBackOff = 100 * time.Millisecond
	// lonely is how long a member waits for a leader before it asks whether it is still a member.
	lonely = time.Second
	// forwardTimeout bounds one call to the leader, below the second after which callers turn to another host.
	forwardTimeout = 800 * time.Millisecond
	// retryPause is the pause after a call that found no leader.
	retryPause = 50 * time.Millisecond
	// groupName is the group in Raft batches.
	groupName = "registry"
)

// Options configure a Registrar.
type Options struct {
	Name       string
	DataCentre string
	// Region of each data centre.
	Regions map[string]string
	// PeerAddress takes calls of other hosts, AnnounceAddress announcements of targets.
	PeerAddress, AnnounceAddress string
	// Seeds are the peer addresses of some registry hosts.
	Seeds []string
	// Bootstrap is set when the whole deployment starts for the first time. The seeds then form the group.
	Bootstrap bool
	// FaultTolerance is the number of registry hosts that may be lost at once.
	FaultTolerance int
	DataDir        string
	// Decode decodes a configuration that was accepted.
	Decode  func(*schemav1.RouteDocument) (*routes.Configuration, error)
	Granter grants.Granter
}

// Registrar is one registry host.
type Registrar struct {
	options  Options
	state    *registry.State
	log      *wal.Log
	id       uint64
	fresh    bool
	client   rpc.Client
	server   *rpc.Server
	metrics  *metrics.Registry
	watchers watchers
	keyLoads keyLoads
	beats    beats
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	started  time.Time

	mu      sync.Mutex
	replica *replication.Replica
	decoded *routes.Configuration
	failed  chan error
	// announcing is set while this host records its own addresses.
	announcing atomic.Bool
	// currentAt is when this host last had everything that was committed, in Unix nanoseconds.
	currentAt atomic.Int64
}

// New opens the data folder and the listener for other hosts.
func New(options Options) (*Registrar, error) {
	log, err := wal.Open(filepath.Join(options.DataDir, "registry"), wal.Options{})
	if err != nil {
		return nil, err
	}
	state, err := log.Load()
	if err != nil {
		return nil, err
	}
	r := &Registrar{
		options: options, state: registry.NewState(), log: log, fresh: member.IsEmpty(replication.PersistentState(state)),
		client: rpc.NewClient(rpc.ClientOptions{BackoffMax: dialBackOff}), server: rpc.NewServer(rpc.ServerOptions{}),
		started: time.Now(), failed: make(chan error, 1), metrics: metrics.New(options.Name, options.DataCentre),
	}
	first := uint64(0)
	if options.Bootstrap && slices.Contains(options.Seeds, options.PeerAddress) {
		first = firstID(options.PeerAddress)
	}
	if r.id, err = log.IdentityWithDefault(first); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.register()
	return r, nil
}

// firstID is the identity of a first member, which all first members know. A host that lost its disk draws another.
func firstID(address string) uint64 { return xxhash.Sum64String("first member " + address) }

// SetSeeds replaces the addresses at which the group is looked for.
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

// Metrics serves the measures of this host as text.
func (r *Registrar) Metrics() http.Handler { return r.metrics.Handler }

// Failed delivers the error with which the replica ended by itself.
func (r *Registrar) Failed() <-chan error { return r.failed }

// Start serves other hosts and joins the group.
func (r *Registrar) Start() error {
	listener, err := net.Listen("tcp", r.options.PeerAddress)
	if err != nil {
		return merry.Wrap(err)
	}
	r.tasks.Go(func() {
		if err := r.server.Serve(listener); err != nil {
			klog.V(1).InfoS("listener for hosts ended", "err", err)
		}
	})
	r.tasks.Go(func() {
		if err := r.run(); err != nil {
			r.failed <- err
		}
	})
	return nil
}

// Stop ends the host.
func (r *Registrar) Stop() {
	if replica := r.member(); replica != nil {
		r.handOver(replica)
	}
	r.cancel()
	if err := r.server.Close(); err != nil {
		klog.V(1).InfoS("server for hosts not closed", "err", err)
	}
	r.tasks.Wait()
	if err := r.client.Close(); err != nil {
		klog.V(1).InfoS("client for hosts not closed", "err", err)
	}
}

// handOver passes leadership on, so that a planned stop needs no election.
func (r *Registrar) handOver(replica *replication.Replica) {
	status := replica.Status()
	if status.Role != raft.Leader {
		return
	}
	for _, m := range status.Members {
		if m.ID == status.ID || m.Learner || m.SinceLastResponse > answering {
			continue
		}
		ctx, cancel := context.WithTimeout(r.ctx, forwardTimeout)
		err := replica.TransferLeadership(ctx, m.ID)
		cancel()
		klog.InfoS("leadership passed on", "to", m.Address, "err", err)
		if err == nil {
			time.Sleep(2 * heartbeatTicks * tick)
			return
		}
	}
}

func (r *Registrar) member() *replication.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

func (r *Registrar) run() error {
	var initial []*schemav1.Member
	if r.fresh {
		if r.id == firstID(r.options.PeerAddress) {
			for _, seed := range r.seeds() {
				initial = append(initial, &schemav1.Member{Id: firstID(seed), Address: seed})
			}
		} else if !r.join() {
			return nil
		}
	}
	replica, err := replication.New(replication.Options{
		ID: r.id, Address: r.options.PeerAddress, Group: groupName, InitialMembers: initial,
		Storage: member.Storage{Log: r.log}, Transport: member.NewTransport(r.ctx, r.client, &r.tasks),
		StateMachine: r.state, Clock: clockwork.NewRealClock(), Tick: tick,
		Raft: raft.Config{
			ElectionMinTicks: electionMinTicks, ElectionMaxTicks: electionMaxTicks, HeartbeatTicks: heartbeatTicks,
			LearnerHeartbeatTicks: learnerHeartbeatTicks,
		},
	})
	if err != nil {
		return err
	}
	klog.InfoS("member of the registry", "host", r.options.Name, "id", r.id, "fresh", r.fresh, "initialMembers", len(initial))
	r.mu.Lock()
	r.replica = replica
	r.mu.Unlock()
	defer replica.Stop()
	return r.lead(replica)
}

func (r *Registrar) self() *schemav1.RegistryHost {
	return &schemav1.RegistryHost{
		Name: r.options.Name, DataCentre: r.options.DataCentre,
		PeerAddress: r.options.PeerAddress, AnnounceAddress: r.options.AnnounceAddress,
	}
}

func (r *Registrar) call(address, method string, request, answer proto.Message) error {
	ctx, cancel := context.WithTimeout(r.ctx, forwardTimeout)
	defer cancel()
	return r.client.Call(ctx, address, method, request, answer)
}

// lead makes the leader's decisions while this host leads, and looks after its own membership.
func (r *Registrar) lead(replica *replication.Replica) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	lead := leadership{registrar: r, replica: replica}
	defer lead.end()
	leaderSeen := time.Now()
	known := uint64(0)
	for {
		select {
		case <-r.ctx.Done():
			return nil
		case <-replica.Done():
			return replica.Err()
		case <-ticker.C:
		}
		status := replica.Status()
		if status.LeaderID != known {
			klog.InfoS("leader of the registry changed", "host", r.options.Name, "leader", status.LeaderAddress, "term", status.Term)
			known = status.LeaderID
		}
		if status.LeaderID != 0 {
			leaderSeen = time.Now()
		} else if time.Since(leaderSeen) > lonely {
			leaderSeen = time.Now()
			r.askToJoin()
		}
		r.isCurrent(status)
		if status.LeaderID != 0 {
			r.announceSelf()
		}
		if status.Role != raft.Leader {
			r.passLoads(status.LeaderAddress)
		}
		lead.step(status)
		r.dropWatchers()
	}
}

// HoldsLeaderLease implements grants.Log.
func (r *Registrar) HoldsLeaderLease() bool {
	replica := r.member()
	return replica != nil && replica.HoldsLease()
}

// Propose commits a command, by way of the leader if this host does not lead. It implements grants.Log.
func (r *Registrar) Propose(ctx context.Context, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	replica := r.member()
	if replica == nil {
		return nil, merry.Wrap(ErrNotJoined)
	}
	status := replica.Status()
	if status.Role == raft.Leader {
		return proposeTo(ctx, replica, command)
	}
	if status.LeaderAddress == "" {
		return nil, merry.Wrap(ErrNoLeader)
	}
	answer := &schemav1.RegistryForwarded{}
	if err := r.client.Call(ctx, status.LeaderAddress, methodForward, &schemav1.RegistryForward{Command: command}, answer); err != nil {
		return nil, err
	}
	return answer.GetResult(), nil
}

func proposeTo(ctx context.Context, replica *replication.Replica, command *schemav1.RegistryCommand) (*schemav1.RegistryResult, error) {
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	applied, err := replica.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	result := &schemav1.RegistryResult{}
	return result, merry.Wrap(proto.Unmarshal(applied, result))
}

// Configuration returns the decoded configuration in force on this host, or nil.
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
