package host

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/httpserver"
	"almondrock.example/almondrock/pkg/internal/pauses"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/link"
	"almondrock.example/almondrock/pkg/member"
	"almondrock.example/almondrock/pkg/metrics"
	"almondrock.example/almondrock/pkg/proxy"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/settings"
	"almondrock.example/almondrock/pkg/target"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

// Intervals of the loops.
const (
	// pollInterval is short enough that a new revision is in force well within the required 5 s.
	pollInterval = 250 * time.Millisecond
	// leaderStepInterval is much shorter than the lease, so that the leader reacts to a lost host as soon as its lease has
	// expired.
	leaderStepInterval = 10 * time.Millisecond
)

// addresses are the addresses of this host's listeners.
type addresses struct {
	callers, data, rpc, admin string
}

// Host is one almondrock process.
type Host struct {
	options       Options
	settings      *schemav1.HostSettings
	seeds         []settings.Member
	addresses     addresses
	listeners     *Listeners
	identity      uint64
	startedUnixMs int64
	clock         lease.Clock

	// tls is nil when TLS is off.
	tls       *tlsconfig.Source
	client    rpc.Client
	transport *member.Transport
	lease     *lease.Holder
	decisions *decisionlog.Logger
	metrics   *metrics.Registry
	link      *link.Link
	control   *controlMember
	group     atomic.Pointer[group]
	views     viewStore
	manager   *target.Manager
	draining  atomic.Bool
	// leaseWasValid is whether the lease was valid after the last renewal. Only the renewal loop uses it.
	leaseWasValid bool
	// renewNow triggers a renewal before the next interval.
	renewNow chan struct{}

	mu                   sync.Mutex
	controlLeaderAddress string
	controlReachedAt     time.Duration
	failure              error

	tasks       sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
	server      *rpc.Server
	httpServers []*httpserver.Server
}

// New opens the data directory and the listeners. Start begins to serve.
func New(options Options) (*Host, error) {
	h := &Host{options: options, settings: options.Settings, startedUnixMs: time.Now().UnixMilli(), renewNow: make(chan struct{}, 1)}
	start := pauses.BootClock()
	h.clock = func() time.Duration { return pauses.BootClock() - start }
	h.lease = lease.NewHolder(h.clock)
	h.decisions = decisionlog.New(h.settings.GetName(), h.settings.GetLogDecisions())
	h.seeds = settings.ParseMembers(h.settings.GetSeeds())
	var err error
	if h.tls, err = openTLS(h.settings); err != nil {
		return nil, err
	}
	if err := h.initIdentity(); err != nil {
		return nil, err
	}
	if h.listeners = options.Listeners; h.listeners == nil {
		if h.listeners, err = Listen(h.settings); err != nil {
			h.control.close()
			return nil, err
		}
	}
	h.addresses = addresses{
		callers: h.listeners.Callers.Addr().String(),
		data:    h.listeners.Data.Addr().String(),
		rpc:     h.listeners.RPC.Addr().String(),
		admin:   h.listeners.Admin.Addr().String(),
	}
	h.metrics = metrics.New(h.settings.GetName(), h.settings.GetDataCentre())
	h.link = h.newLink()
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.client = rpc.NewClient(rpc.ClientOptions{TLS: h.clientTLS(), Dial: options.Faults.dial()})
	h.transport = member.NewTransport(h.ctx, h.client, &h.tasks)
	return h, nil
}

// initIdentity opens the data directory of the control group, if this host is a member of it, and draws a random identity
// for this start. The control group's log keeps an identity of its own on disk. The log of the data centre group is kept
// in memory, so a host must never return to that group under an identity that may have voted.
func (h *Host) initIdentity() error {
	if h.isSeed() && h.settings.GetDataDir() != "" {
		member, err := openControl(h, h.seeds)
		if err != nil {
			return err
		}
		h.control = member
	}
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return err
	}
	h.identity = binary.LittleEndian.Uint64(raw[:]) | 1
	return nil
}

func (h *Host) isSeed() bool {
	return slices.ContainsFunc(h.seeds, func(s settings.Member) bool { return s.Name == h.settings.GetName() })
}

// Start begins to serve and to join the deployment. It returns before the host is ready.
func (h *Host) Start() {
	h.manager = h.newManager()
	h.server = rpc.NewServer(rpc.ServerOptions{TLS: h.serverTLS(), Budget: processBudget()})
	h.registerHandlers(h.server)
	h.tasks.Go(func() { _ = h.server.Serve(h.listeners.RPC) })
	if h.control != nil {
		h.tasks.Go(func() { h.fail(h.control.run(h.ctx)) })
	}
	h.serveHTTP()
	for _, loop := range []func(context.Context){h.pollLoop, h.leaderLoop, h.renewLoop, h.syncLoop} {
		h.tasks.Go(func() { loop(h.ctx) })
	}
	klog.InfoS("host started", "host", h.settings.GetName(), "dataCentre", h.settings.GetDataCentre(),
		"listen", h.addresses.callers, "data", h.addresses.data, "rpc", h.addresses.rpc, "admin", h.addresses.admin)
}

// fail records the error that keeps the host from running and stops its loops. It ignores nil and errors during a stop.
func (h *Host) fail(err error) {
	if err == nil || h.ctx.Err() != nil {
		return
	}
	klog.ErrorS(err, "host stops because of an error", "host", h.settings.GetName())
	h.mu.Lock()
	h.failure = err
	h.mu.Unlock()
	h.cancel()
}

// Done returns a channel that is closed when the host stops, by an error or by Kill. Err returns the error.
func (h *Host) Done() <-chan struct{} { return h.ctx.Done() }

// Err returns the error that stopped the host, or nil.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

// CallerAddress returns the address that callers and targets use.
func (h *Host) CallerAddress() string { return h.addresses.callers }

// AdminAddress returns the address of the administration API.
func (h *Host) AdminAddress() string { return h.addresses.admin }

// Name returns the name of the host.
func (h *Host) Name() string { return h.settings.GetName() }

func (h *Host) newManager() *target.Manager {
	return target.NewManager(target.ManagerOptions{
		Host:                 h.settings.GetName(),
		Clock:                h.clock,
		RemainingLease:       h.lease.Remaining,
		NewGate:              h.newGate,
		OnShardReleased:      h.reportShardReleased,
		OnAttachmentReleased: h.triggerRenewal,
		Scope:                h.metrics.Scope,
		Dial:                 h.options.Faults.dial(),
	})
}

// reportShardReleased proposes to finish the move of a shard that its old owner no longer serves.
func (h *Host) reportShardReleased(_ string, shard *schemav1.ShardRecord) {
	command := &schemav1.GroupCommand{Command: &schemav1.GroupCommand_FinishMoves{FinishMoves: &schemav1.FinishMoves{
		Moves: []*schemav1.ShardAssignment{{
			Keyspace:             shard.GetKeyspace(),
			Shard:                shard.GetShard(),
			Hot:                  shard.GetHot(),
			KeyHash:              shard.GetKeyHash(),
			Target:               shard.GetNextTarget(),
			ExpectedFenceCounter: shard.GetFence().GetCounter(),
		}},
	}}}
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, callTimeout)
		defer cancel()
		// Errors are ignored, because the manager reports again until the table shows the move as finished.
		_, _ = h.proposeToLeader(ctx, command)
	})
}

func (h *Host) serveHTTP() {
	options := h.proxyOptions()
	callers := http.NewServeMux()
	callers.Handle("POST /v1/announce", target.NewAnnouncementHandler(target.AnnouncementOptions{
		Token:      h.settings.GetAnnounceToken(),
		DataCentre: h.settings.GetDataCentre(),
		Accept:     h.acceptAnnouncement,
	}))
	callers.Handle("/", proxy.NewIngressHandler(options))
	h.serve(h.newHTTPServer(callers, callerShare), h.listeners.Callers)
	h.serve(h.newHTTPServer(proxy.NewForwardedHandler(options), forwardedShare), withTLS(h.listeners.Data, h.serverTLS()))
	h.serve(h.newHTTPServer(h.adminHandler(), adminShare), withTLS(h.listeners.Admin, h.adminTLS()))
}
