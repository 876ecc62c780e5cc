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
	// pollInterval keeps a new revision well within the 5 s in which it must be in force.
	pollInterval = 250 * time.Millisecond
	// leaderStep is short against the lease, so that a loss is acted upon as soon as the lease is over.
	leaderStep = 10 * time.Millisecond
)

// addresses are where other hosts reach this one.
type addresses struct {
	callers, data, rpc, admin string
}

// Host is one almondrock process.
type Host struct {
	options   Options
	settings  *schemav1.HostSettings
	seeds     []settings.Member
	addresses addresses
	listeners *Listeners
	identity  uint64
	started   int64
	clock     lease.Clock

	// tls is nil in plain text.
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
	// leased tells the renewal loop whether the lease was valid after the last renewal.
	leased bool
	// renewNow asks for a renewal before the next interval.
	renewNow chan struct{}

	mu            sync.Mutex
	controlLeader string
	controlSeen   time.Duration
	failure       error

	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	server *rpc.Server
	https  []*http.Server
}

// New opens the data folder and the listeners; Start begins to serve.
func New(options Options) (*Host, error) {
	h := &Host{options: options, settings: options.Settings, started: time.Now().UnixMilli(), renewNow: make(chan struct{}, 1)}
	start := time.Now()
	h.clock = func() time.Duration { return time.Since(start) }
	h.lease = lease.NewHolder(h.clock)
	h.decisions = decisionlog.New(h.settings.GetName(), h.settings.GetLogDecisions())
	h.seeds = settings.ParseMembers(h.settings.GetSeeds())
	var err error
	if h.tls, err = openTLS(h.settings); err != nil {
		return nil, err
	}
	if err := h.openIdentity(); err != nil {
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

// openIdentity takes the identity kept on the disk, or draws one for this start. A host without a disk must never
// return under an identity that may have voted.
func (h *Host) openIdentity() error {
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

// Start begins to serve and to join the deployment. It does not wait until the host is ready.
func (h *Host) Start() {
	h.manager = h.newManager()
	h.server = rpc.NewServer(rpc.ServerOptions{TLS: h.serverTLS()})
	h.register(h.server)
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

// fail records why the host cannot go on and stops its loops.
func (h *Host) fail(err error) {
	if err == nil || h.ctx.Err() != nil {
		return
	}
	klog.ErrorS(err, "host stops", "host", h.settings.GetName())
	h.mu.Lock()
	h.failure = err
	h.mu.Unlock()
	h.cancel()
}

// Done is closed when the host stopped by itself; Err tells why.
func (h *Host) Done() <-chan struct{} { return h.ctx.Done() }

// Err returns why the host stopped by itself, or nil.
func (h *Host) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

// CallerAddress is the address that callers and targets use.
func (h *Host) CallerAddress() string { return h.addresses.callers }

// AdminAddress is the address of the administration API.
func (h *Host) AdminAddress() string { return h.addresses.admin }

// Name is the name of the host.
func (h *Host) Name() string { return h.settings.GetName() }

func (h *Host) newManager() *target.Manager {
	return target.NewManager(target.ManagerOptions{
		Host:                 h.settings.GetName(),
		Clock:                h.clock,
		RemainingLease:       h.lease.Remaining,
		NewGate:              h.newGate,
		OnShardReleased:      h.released,
		OnAttachmentReleased: h.renewSoon,
		Scope:                h.metrics.Scope,
		Dial:                 h.options.Faults.dial(),
	})
}

// released reports a shard that its old owner has stopped serving.
func (h *Host) released(_ string, shard *schemav1.ShardRecord) {
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
		// The manager reports again until the table shows the move as finished.
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
	h.serve(proxy.NewServer(callers), h.listeners.Callers)
	h.serve(proxy.NewServer(proxy.NewForwardedHandler(options)), secure(h.listeners.Data, h.serverTLS()))
	h.serve(&http.Server{Handler: h.adminHandler(), ReadHeaderTimeout: callTimeout}, secure(h.listeners.Admin, h.adminTLS()))
}
