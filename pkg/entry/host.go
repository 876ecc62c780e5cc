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
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/routes"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/upstream"
)

const (
	// headerSlack is what net/http adds to MaxHeaderBytes by itself.
	headerSlack = 4 << 10
	// defaultMaxHeader bounds headers. net/http reads it once, before a configuration is known.
	defaultMaxHeader = 64 << 10
	// headerTimeout and idleTimeout bound callers; the idle time is over what configurations allow callers to use.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// leaveDelay is how long new connections still arrive after the host stops being ready: the balancer takes a host out
	// after two answers, a second apart.
	leaveDelay = 2200 * time.Millisecond
	// dialBackOff bounds the pause between dials of a registry host, without which this host cannot start.
	dialBackOff = 100 * time.Millisecond
	// sweepEvery is how often idle connections past their time are closed.
	sweepEvery = time.Second
)

// Options configure a Host.
type Options struct {
	Name       string
	DataCentre string
	Region     string
	// Regions has the region of each data centre.
	Regions map[string]string
	// CallerAddress takes callers, Ready the balancer's question, Load the load reports of other entry hosts (UDP).
	CallerAddress, ReadinessAddress, LoadReportAddress string
	// Seeds are peer addresses of registry hosts.
	Seeds    []string
	Protocol Protocol
	// DecodeConfiguration decodes a configuration that was accepted.
	DecodeConfiguration func(*schemav1.RouteDocument) (*routes.Configuration, error)
	// Dispatch has the budgets; the place is filled in.
	Dispatch dispatch.Options
	// LinkCapacity is the capacity of the host's network link in bytes per second; 0 when it is not known.
	LinkCapacity float64
	// GracePeriod is the time from the order to stop until the process must have ended.
	GracePeriod time.Duration
}

// Host is one entry host.
type Host struct {
	options   Options
	entry     *schemav1.EntryHost
	started   time.Time
	core      *dispatch.Dispatcher
	upstream  *upstream.Client
	client    rpc.Client
	view      atomic.Pointer[view]
	seeds     atomic.Pointer[[]string]
	peers     atomic.Pointer[[]*net.UDPAddr]
	datagrams *net.UDPConn
	changed   broadcaster
	// confirmedAt is when the registry last confirmed the view.
	confirmedAt atomic.Int64
	// loadChanged wakes the load reports.
	loadChanged chan struct{}
	leaving     atomic.Bool
	keyLoads    keyLoads
	measures    *measures
	pacer       *pacer

	splitMu  sync.Mutex
	splitter *routes.Splitter

	callers *http.Server
	ready   *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// New returns a host that does not listen yet.
func New(options Options) *Host {
	options.Dispatch.DataCentre, options.Dispatch.Region = options.DataCentre, options.Region
	h := &Host{
		options: options, started: time.Now(), core: dispatch.New(options.Dispatch),
		entry:    &schemav1.EntryHost{Name: options.Name, DataCentre: options.DataCentre, LoadAddress: options.LoadReportAddress},
		upstream: upstream.New(upstream.Options{IDHeader: options.Protocol.RequestIDHeader}),
		client:   rpc.NewClient(rpc.ClientOptions{MaxConnections: 1, BackoffMax: dialBackOff}), splitter: routes.NewSplitter(),
		loadChanged: make(chan struct{}, 1), measures: newMeasures(options.Name, options.DataCentre), pacer: newPacer(options.LinkCapacity),
	}
	h.view.Store(&view{})
	h.peers.Store(&[]*net.UDPAddr{})
	h.SetSeeds(options.Seeds)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.callers = &http.Server{
		Handler: http.HandlerFunc(h.serve), MaxHeaderBytes: defaultMaxHeader - headerSlack,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quietLog(),
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+options.Protocol.ReadyPath, h.serveReady)
	h.ready = &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, ErrorLog: quietLog()}
	return h
}

// Metrics serves the measures of this host as text.
func (h *Host) Metrics() http.Handler { return h.measures.registry.Handler }

// SetSeeds replaces the addresses at which registry hosts are looked for.
func (h *Host) SetSeeds(seeds []string) {
	copied := slices.Clone(seeds)
	h.seeds.Store(&copied)
}

func (h *Host) now() time.Duration { return time.Since(h.started) }

func (h *Host) current() *view { return h.view.Load() }

// Start opens the listeners and follows the registry.
func (h *Host) Start() error {
	load, err := net.ResolveUDPAddr("udp", h.options.LoadReportAddress)
	if err != nil {
		return merry.Wrap(err)
	}
	if h.datagrams, err = net.ListenUDP("udp", load); err != nil {
		return merry.Wrap(err)
	}
	for _, server := range []struct {
		server  *http.Server
		address string
	}{{h.ready, h.options.ReadinessAddress}, {h.callers, h.options.CallerAddress}} {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return merry.Wrap(err)
		}
		h.tasks.Go(func() {
			if err := server.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "listener ended", "address", server.address)
			}
		})
	}
	h.tasks.Go(func() { h.follow(h.ctx) })
	h.tasks.Go(func() { h.tell(h.ctx) })
	h.tasks.Go(func() { h.listen(h.ctx) })
	h.tasks.Go(func() { h.sweep(h.ctx) })
	return nil
}

func (h *Host) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, sweepEvery)
		targets := h.current().targets
		h.upstream.CloseIdle(func(pool string) bool {
			id, _, _ := strings.Cut(pool, " ")
			return targets[id] == nil
		})
	}
}

// Stop lets requests end: callers' connections are closed after their answers, and new ones are taken until the balancer
// has noticed.
func (h *Host) Stop() {
	began := time.Now()
	h.leaving.Store(true)
	h.callers.SetKeepAlivesEnabled(false)
	klog.InfoS("stopping", "host", h.options.Name)
	time.Sleep(min(leaveDelay, h.options.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(h.options.GracePeriod-stopMargin))
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "requests were still running at the stop", "host", h.options.Name)
	}
	h.Kill()
	klog.InfoS("stopped", "host", h.options.Name, "after", time.Since(began))
}

// stopMargin is the part of the grace time that is left for the end of the process.
const stopMargin = 300 * time.Millisecond

// Kill ends the host at once.
func (h *Host) Kill() {
	h.cancel()
	for _, closing := range []interface{ Close() error }{h.callers, h.ready, h.datagrams, h.client} {
		if err := closing.Close(); err != nil {
			klog.V(1).InfoS("not closed", "err", err)
		}
	}
	h.tasks.Wait()
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.current().table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// split chooses the service of a request.
func (h *Host) split(route *routes.Route) string {
	h.splitMu.Lock()
	defer h.splitMu.Unlock()
	return h.splitter.Choose(route, float64(dispatch.TargetHash(h.options.Name)%1000)/1000)
}

// noteLoad wakes the load reports.
func (h *Host) noteLoad() {
	select {
	case h.loadChanged <- struct{}{}:
	default:
	}
}

// broadcaster wakes all that wait for a change.
type broadcaster struct {
	mu sync.Mutex
	c  chan struct{}
}

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
