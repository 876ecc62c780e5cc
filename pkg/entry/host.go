package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/httpserver"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/memory"
	"almondrock.example/almondrock/pkg/quota"
	"almondrock.example/almondrock/pkg/registry"
	"almondrock.example/almondrock/pkg/routes"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// maxRequestHeader is the largest request header in bytes. It exceeds what configurations allow callers, so that a header is not
	// refused under a limit that has just been raised.
	maxRequestHeader = 64 << 10
	// headerTimeout and idleTimeout apply to connections of callers. idleTimeout exceeds the idle times that configurations
	// allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// callerWriteTimeout is how long a caller may take to receive 64 KiB. It is far above the time on the slowest link, and bounds how
	// long a caller that has gone silent holds a response in memory.
	callerWriteTimeout = 15 * time.Second
	// drainDelay is how long new connections may still arrive after the host has stopped being ready: the load balancer
	// removes a host after two failed readiness checks, which are one second apart.
	drainDelay = 2200 * time.Millisecond
	// maxDialBackOff bounds the pause between dials of a registry host. It is short because this host cannot start without
	// the registry.
	maxDialBackOff = 100 * time.Millisecond
	// maxReadinessHeader and maxReadinessConnections bound the readiness checks. A load balancer keeps few connections and sends small
	// requests.
	maxReadinessHeader      = 8 << 10
	maxReadinessConnections = 32
	// sweepInterval is how often expired idle connections to targets are closed.
	sweepInterval = time.Second
)

// Options configure a Host.
type Options struct {
	Name       string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// CallerAddress accepts HTTP requests of callers, ReadinessAddress the readiness checks of the load balancer, and
	// LoadReportAddress the load reports of other entry hosts (UDP).
	CallerAddress, ReadinessAddress, LoadReportAddress string
	// SlotAddress is the UDP address for the scheduling of slots; empty if the host does not take part.
	SlotAddress string
	// AnnounceAddress is the address at which targets reach Announce and RemoveTarget; empty if they do not.
	AnnounceAddress string
	// Seeds are the peer addresses of some registry hosts, at which the registry is first looked for.
	Seeds    []string
	Protocol Protocol
	// DecodeConfiguration decodes a configuration that the registry has accepted.
	DecodeConfiguration func(*schemav1.RouteDocument) (*routes.Configuration, error)
	// Dispatch has the retry budget; New sets its DataCentre and Region.
	Dispatch dispatch.Options
	// LinkCapacity is the capacity of the network link of the host in bytes per second; 0 when it is not known.
	LinkCapacity float64
	// GracePeriod is the time from the stop signal until the process must have ended.
	GracePeriod time.Duration
	// MaxKeyViewAge is the age of the view from which on no keys of tenants are accepted, because they may have been removed; 0 means no limit.
	MaxKeyViewAge time.Duration
	// QuotaTolerance is how far the requests of a tenant may exceed its rate and burst.
	QuotaTolerance quota.Tolerance
	// Budget bounds the memory that is held for callers; it may be nil.
	Budget *memory.Budget
	// MaxCallers bounds the connections of callers; no bound when 0.
	MaxCallers int
}

// Host is an entry host.
type Host struct {
	options        Options
	self           *schemav1.EntryHost
	started        time.Time
	dispatcher     *dispatch.Dispatcher
	upstream       *upstream.Client
	registryClient rpc.Client
	view           atomic.Pointer[view]
	seeds          atomic.Pointer[[]string]
	peers          atomic.Pointer[[]*net.UDPAddr]
	loadReportConn *net.UDPConn
	viewChanged    broadcaster
	// completeUntil is the time since the start of the host up to which the view certainly has all changes of the registry.
	completeUntil atomic.Int64
	// registryAddress is the peer address of the registry host that last answered and was up to date, or before that of the first one that
	// answered; nil before the first answer.
	registryAddress atomic.Pointer[string]
	announcements   registry.AnnouncementOrder
	// knownRegistryHosts are the registry hosts that were looked up before the first view. Only followRegistry uses it.
	knownRegistryHosts []*schemav1.RegistryHost
	// loadChanged wakes the sender of load reports.
	loadChanged chan struct{}
	// targetLeaves wakes the reporter of targets that leave.
	targetLeaves chan struct{}
	shuttingDown atomic.Bool
	// stopPlan is set once the host has begun to stop.
	stopPlan       atomic.Pointer[stopPlan]
	keyLoads       keyLoads
	quotas         *tenantQuotas
	suspects       *suspectTracker
	requestMetrics *requestMetrics
	pacer          *pacer
	// slots is nil if the host does not take part in the scheduling of slots.
	slots *slotNode

	splitMu  sync.Mutex
	splitter *routes.Splitter

	callers *httpserver.Server
	ready   *httpserver.Server
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// New returns a host that has not been started.
func New(options Options) *Host {
	options.Dispatch.DataCentre, options.Dispatch.Region = options.DataCentre, options.Region
	started := time.Now()
	options.Dispatch.StartedAt = started
	h := &Host{
		options: options, started: started, dispatcher: dispatch.New(options.Dispatch),
		self: &schemav1.EntryHost{
			Name: options.Name, DataCentre: options.DataCentre, LoadAddress: options.LoadReportAddress, AnnounceAddress: options.AnnounceAddress,
			SlotAddress: options.SlotAddress,
		},
		upstream:       upstream.New(upstream.Options{IDHeader: options.Protocol.RequestIDHeader, ReceiveBuffer: receiveBuffer(options.LinkCapacity)}),
		registryClient: rpc.NewClient(rpc.ClientOptions{MaxConnections: 1, BackoffMax: maxDialBackOff}), splitter: routes.NewSplitter(),
		loadChanged: make(chan struct{}, 1), targetLeaves: make(chan struct{}, 1), requestMetrics: newRequestMetrics(options.Name, options.DataCentre), pacer: newPacer(options.LinkCapacity),
		suspects: newSuspectTracker(), quotas: newTenantQuotas(options.Name, options.QuotaTolerance),
	}
	h.slots = newSlotNode(h)
	h.view.Store(&view{})
	h.completeUntil.Store(int64(notConfirmed))
	h.peers.Store(&[]*net.UDPAddr{})
	h.SetSeeds(options.Seeds)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.callers = httpserver.New(httpserver.Options{
		Handler: http.HandlerFunc(h.serve), MaxHeaderBytes: maxRequestHeader,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: callerWriteTimeout, BodyTimeout: httpserver.DefaultBodyTimeout,
		MaxConnections: options.MaxCallers, Budget: options.Budget, OnRefuse: h.RecordRefusal,
	})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+options.Protocol.ReadyPath, h.serveReady)
	h.ready = httpserver.New(httpserver.Options{
		Handler: ready, MaxHeaderBytes: maxReadinessHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: headerTimeout,
		BodyTimeout: httpserver.DefaultBodyTimeout, MaxConnections: maxReadinessConnections, OnRefuse: h.RecordRefusal,
	})
	return h
}

// Metrics returns the handler that serves the metrics of this host as text.
func (h *Host) Metrics() http.Handler { return h.requestMetrics.registry.Handler }

// RecordRefusal counts a caller that is refused, or whose connection is closed, because of a limit.
func (h *Host) RecordRefusal(reason string) { h.requestMetrics.registry.RecordRefusal(reason) }

// SetSeeds replaces the seed addresses of registry hosts.
func (h *Host) SetSeeds(seeds []string) {
	copied := slices.Clone(seeds)
	h.seeds.Store(&copied)
}

// now is the time since the start of the host.
func (h *Host) now() time.Duration { return time.Since(h.started) }

func (h *Host) current() *view { return h.view.Load() }

// viewAge is the time since the view certainly had all changes of the registry.
func (h *Host) viewAge() time.Duration { return h.now() - time.Duration(h.completeUntil.Load()) }

// Start opens the listeners and starts the background tasks of the host.
func (h *Host) Start() error {
	load, err := net.ResolveUDPAddr("udp", h.options.LoadReportAddress)
	if err != nil {
		return merry.Wrap(err)
	}
	if h.loadReportConn, err = net.ListenUDP("udp", load); err != nil {
		return merry.Wrap(err)
	}
	if h.slots != nil {
		if err := h.slots.start(); err != nil {
			// The host serves by direct selection, and is not asked by others.
			klog.ErrorS(err, "slots are not scheduled", "address", h.options.SlotAddress)
			h.slots, h.self.SlotAddress = nil, ""
		}
	}
	for _, server := range []struct {
		server  interface{ Serve(net.Listener) error }
		address string
	}{{h.ready, h.options.ReadinessAddress}, {h.callers, h.options.CallerAddress}} {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return merry.Wrap(err)
		}
		h.tasks.Go(func() {
			if err := server.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "listener stopped", "address", server.address)
			}
		})
	}
	for task, run := range map[string]func(context.Context){
		"follow registry": h.followRegistry, "send load reports": h.sendLoadReports, "receive load reports": h.receiveLoadReports,
		"close idle connections": h.closeIdleConnections, "report leaving targets": h.reportLeavingTargets,
		"report suspects": h.reportSuspects, "follow paces": h.followPaces, "report quotas": h.reportQuotas,
	} {
		h.tasks.Go(func() { guard.Loop(h.ctx, task, func() { run(h.ctx) }) })
	}
	if h.slots != nil {
		h.tasks.Go(func() { guard.Loop(h.ctx, "receive slot datagrams", func() { h.slots.run(h.ctx) }) })
	}
	return nil
}

// closeIdleConnections regularly closes idle connections that have expired or whose target is no longer in the view.
func (h *Host) closeIdleConnections(ctx context.Context) {
	for ctx.Err() == nil {
		monotonic.Sleep(ctx, sweepInterval)
		h.requestMetrics.recordMemory(h.options.Budget)
		targets := h.current().targets
		h.upstream.CloseIdle(func(poolKey string) bool {
			id, _, _ := strings.Cut(poolKey, " ")
			return targets[id] == nil
		})
	}
}

// Stop shuts the host down gracefully: it still accepts connections until the load balancer has removed the host, lets running
// requests finish, and closes the connections of callers after their responses.
func (h *Host) Stop() {
	began := time.Now()
	h.stopPlan.Store(newStopPlan(h.now(), h.options.GracePeriod))
	h.shuttingDown.Store(true)
	h.callers.Drain()
	klog.InfoS("stopping", "host", h.options.Name)
	time.Sleep(min(drainDelay, h.options.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(h.options.GracePeriod-stopMargin))
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "requests were still running at the end of the grace period", "host", h.options.Name)
	}
	h.Kill()
	klog.InfoS("stopped", "host", h.options.Name, "after", time.Since(began))
}

// stopMargin is the part of the grace period that is reserved for ending the process.
const stopMargin = 300 * time.Millisecond

// Kill stops the host immediately; running requests are aborted.
func (h *Host) Kill() {
	h.cancel()
	if h.slots != nil {
		h.slots.close()
	}
	for _, closer := range []interface{ Close() error }{h.callers, h.ready, h.loadReportConn, h.registryClient} {
		if err := closer.Close(); err != nil {
			klog.V(1).InfoS("server or connection not closed", "err", err)
		}
	}
	h.tasks.Wait()
}

// serveReady responds with 200 while the host should receive callers, else with 503.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.shuttingDown.Load() || h.current().table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// chooseService chooses one of the destinations of the route for a request. Hosts start at different positions of the sequence.
func (h *Host) chooseService(route *routes.Route) string {
	h.splitMu.Lock()
	defer h.splitMu.Unlock()
	return h.splitter.Choose(route, float64(dispatch.TargetHash(h.options.Name)%1000)/1000)
}

// announcedSelf is the description of this host for the registry. While it stops, it has no slot address, so that its groups of targets move
// to other hosts before it ends.
func (h *Host) announcedSelf() *schemav1.EntryHost {
	if !h.shuttingDown.Load() || h.self.GetSlotAddress() == "" {
		return h.self
	}
	leaving := proto.CloneOf(h.self)
	leaving.SlotAddress = ""
	return leaving
}

// notifyLoadChanged wakes the sender of load reports.
func (h *Host) notifyLoadChanged() {
	select {
	case h.loadChanged <- struct{}{}:
	default:
	}
}

// broadcaster notifies any number of goroutines of a change.
type broadcaster struct {
	mu sync.Mutex
	c  chan struct{}
}

// wait returns a channel that is closed at the next broadcast.
func (b *broadcaster) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *broadcaster) broadcast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}
