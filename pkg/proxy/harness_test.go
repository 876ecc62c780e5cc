package proxy_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/keyspace"
	"almondrock.example/almondrock/pkg/ownership"
	"almondrock.example/almondrock/pkg/proxy"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

const (
	desk     = "desk"
	deskKeys = "desk/*"
	key      = "gown-17"
)

// world is a deployment of hosts and stand-in targets in one process, with tables that the tests write.
type world struct {
	mu          sync.Mutex
	resolution  config.Resolution
	assignment  ownership.Assignment
	dataCentre  string
	targets     map[string]*schemav1.TargetRecord
	hosts       map[string]*host
	retryBudget int
	looks       int
	// onLook runs at each look at the assignment, onAcquire when a request has got its slot.
	onLook    func(looks int)
	onAcquire func()
}

// host is one host with both handlers and a manager of its targets.
type host struct {
	world              *world
	name, dataCentre   string
	lease              atomic.Int64
	draining           atomic.Bool
	manager            *target.Manager
	options            proxy.Options
	ingress, forwarded *http.Server
	address, data      string
	released           chan *schemav1.ShardRecord
}

func newWorld() *world {
	return &world{
		resolution: config.Resolution{
			Service: &schemav1.Service{Name: desk, Kind: schemav1.ServiceKind_SERVICE_KIND_EXCLUSIVE}, Keyspace: deskKeys,
			Shards: 16, Deadline: 5 * time.Second, MaxBodyBytes: 1 << 20, Class: schemav1.RequestClass_REQUEST_CLASS_INTERACTIVE,
		},
		dataCentre: "seoul-gangnam", targets: map[string]*schemav1.TargetRecord{}, hosts: map[string]*host{}, retryBudget: 100,
	}
}

func (w *world) Config() proxy.Resolver { return w }

func (w *world) Resolve(service, _, method, _ string) (config.Resolution, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if service != desk {
		return config.Resolution{}, apierr.New(apierr.UnknownService, "no service")
	}
	resolution := w.resolution
	resolution.Safe = target.IsSafe(method)
	resolution.Idempotent = resolution.Safe || method == http.MethodPut || method == http.MethodDelete
	return resolution, nil
}

func (w *world) RegionOf(dataCentre string) string { return strings.Split(dataCentre, "-")[0] }

// AllowRetry lets an idempotent request be sent again twice at most, without a pause.
func (w *world) AllowRetry(a proxy.FailedAttempt) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retryBudget == 0 || a.Retries >= 2 || a.BodyConsumed {
		return 0, false
	}
	w.retryBudget--
	return 0, true
}

func (w *world) CountRequest() {}

// own makes name the owner of all shards, attached to host.
func (w *world) own(name, host string, counter uint64) {
	w.mu.Lock()
	w.assignment = ownership.Assignment{Target: name, Host: host, Fence: &schemav1.Fence{Epoch: 1, Generation: 1, Counter: counter}}
	w.targets[name].AttachedHost = host
	scope := target.RoutedKey{Keyspace: deskKeys, Shard: shardOfKey(), Fence: w.assignment.Fence}
	w.mu.Unlock()
	w.sync()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(time.Millisecond) {
		if attached, ok := w.hosts[host].manager.AttachedTarget(name); ok && attached.CheckBegin(scope) == nil {
			return
		}
	}
	panic("the target did not accept its grants")
}

func shardOfKey() uint32 { return keyspace.Shard(keyspace.Hash("", key), 16) }

func (w *world) setMoving() {
	w.mu.Lock()
	w.assignment.Moving = true
	w.mu.Unlock()
	w.sync()
}

func (w *world) shards(name string) []*schemav1.ShardRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.assignment.Target != name {
		return nil
	}
	var records []*schemav1.ShardRecord
	for shard := range uint32(16) {
		state := schemav1.ShardState_SHARD_STATE_OWNED
		if w.assignment.Moving {
			state = schemav1.ShardState_SHARD_STATE_MOVING
		}
		records = append(records, &schemav1.ShardRecord{
			Keyspace: deskKeys, Shard: shard, State: state, Target: name, Fence: w.assignment.Fence,
		})
	}
	return records
}

func (w *world) sync() {
	for _, h := range w.hosts {
		if h.manager == nil {
			continue
		}
		var attached []*schemav1.TargetRecord
		w.mu.Lock()
		for _, record := range w.targets {
			if record.GetAttachedHost() == h.name {
				attached = append(attached, record)
			}
		}
		w.mu.Unlock()
		h.manager.Sync(context.Background(), attached, w.shards)
	}
}

func (h *host) Config() proxy.Resolver { return h.world }

func (h *host) Delegation(string, uint32) (string, uint64, bool) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.world.dataCentre, 1, h.world.dataCentre != ""
}

func (h *host) Assignment(string, uint32, uint64) (ownership.Assignment, bool) {
	w := h.world
	w.mu.Lock()
	w.looks++
	looks, onLook := w.looks, w.onLook
	w.mu.Unlock()
	if onLook != nil {
		onLook(looks)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment, w.assignment.Target != ""
}

func (h *host) Targets(string) []*schemav1.TargetRecord {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	var records []*schemav1.TargetRecord
	for _, record := range h.world.targets {
		records = append(records, record)
	}
	return records
}

func (h *host) Target(name string) (*schemav1.TargetRecord, bool) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	record, ok := h.world.targets[name]
	return record, ok
}

func (h *host) HostAddress(name string) (string, bool) {
	other, ok := h.world.hosts[name]
	if !ok {
		return "", false
	}
	return other.data, true
}

func (h *host) HostAddressesIn(dataCentre string) []string {
	var addresses []string
	for _, other := range h.world.hosts {
		if other.dataCentre == dataCentre {
			addresses = append(addresses, other.data)
		}
	}
	return addresses
}

func (h *host) Lease() time.Duration { return time.Duration(h.lease.Load()) }
func (h *host) Draining() bool       { return h.draining.Load() }

func (h *host) Self() proxy.HostInfo {
	return proxy.HostInfo{Host: h.name, DataCentre: h.dataCentre, Region: h.world.RegionOf(h.dataCentre), Identity: 1}
}

// semaphore is a gate that knows slots only.
type semaphore struct {
	world *world
	slots chan struct{}
}

type permit struct {
	gate *semaphore
	once sync.Once
}

func (s *semaphore) Boot(string, uint32) {}

func (s *semaphore) Acquire(ctx context.Context, _ target.Ticket) (target.Permit, error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, apierr.New(apierr.DeadlineExceeded, "waited too long for a slot")
	}
	s.world.mu.Lock()
	onAcquire := s.world.onAcquire
	s.world.mu.Unlock()
	if onAcquire != nil {
		onAcquire()
	}
	return &permit{gate: s}, nil
}

func (p *permit) Release(target.Outcome) { p.once.Do(func() { <-p.gate.slots }) }

func (w *world) newGate(record *schemav1.TargetRecord) target.Gate {
	return &semaphore{world: w, slots: make(chan struct{}, record.GetAnnouncement().GetSlots())}
}

// addHost starts a host. change edits the options of both handlers.
func (w *world) addHost(name, dataCentre string, change ...func(o *proxy.Options)) *host {
	h := &host{world: w, name: name, dataCentre: dataCentre, released: make(chan *schemav1.ShardRecord, 1000)}
	h.lease.Store(int64(time.Hour))
	start := time.Now()
	h.manager = target.NewManager(target.ManagerOptions{
		Host: name, Clock: func() time.Duration { return time.Since(start) }, RemainingLease: h.Lease, NewGate: w.newGate,
		OnShardReleased: func(_ string, shard *schemav1.ShardRecord) {
			select {
			case h.released <- shard:
			default:
			}
		},
	})
	h.options = proxy.Options{Directory: h, Targets: h.manager, Retries: w}
	for _, c := range change {
		c(&h.options)
	}
	h.ingress, h.address = listen(proxy.NewIngressHandler(h.options))
	h.forwarded, h.data = listen(proxy.NewForwardedHandler(h.options))
	w.hosts[name] = h
	cleanup(func() { _ = h.ingress.Close() })
	cleanup(func() { _ = h.forwarded.Close() })
	cleanup(h.manager.Close)
	return h
}

// cleanup runs f after the spec, or after the benchmark.
var cleanup = func(f func()) { DeferCleanup(f) }

func listen(handler http.Handler) (*http.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := proxy.NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
}

// addTarget starts a stand-in target that no host is attached to yet.
func (w *world) addTarget(name string, options standin.Options) *standin.Server {
	options.Name, options.Service, options.DataCentre = name, desk, "seoul-gangnam"
	server, err := standin.Start(options)
	if err != nil {
		panic(err)
	}
	cleanup(func() { _ = server.Close() })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets[name] = &schemav1.TargetRecord{Announcement: server.Announcement(), Attachment: 1}
	return server
}

// ask sends one request to address and reads the whole answer.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
	err     error
}

func (r *reply) refusal() apierr.Body {
	var body apierr.Body
	Expect(json.Unmarshal(r.body, &body)).To(Succeed(), "%d %s", r.status, r.body)
	return body
}

func (r *reply) answer() standin.ResponseBody {
	var answer standin.ResponseBody
	Expect(r.err).NotTo(HaveOccurred())
	Expect(r.status).To(Equal(http.StatusOK), string(r.body))
	Expect(json.Unmarshal(r.body, &answer)).To(Succeed())
	return answer
}

func ask(method, address, path, body string, headers ...string) *reply {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return &reply{err: err}
	}
	request.Header.Set(target.HeaderKey, key)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			request.Header.Del(headers[i])
		}
	}
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true, ExpectContinueTimeout: 10 * time.Second}).RoundTrip(request)
	if err != nil {
		return &reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: data, err: err}
}

// oneHost is the usual deployment of a test: one host with one attached target.
func oneHost() (*world, *host, *standin.Server) {
	w := newWorld()
	server := w.addTarget("t1", standin.Options{})
	h := w.addHost("h1", "seoul-gangnam")
	w.own("t1", "h1", 5)
	return w, h, server
}

// twoHosts has an ingress host without targets and the attached host.
func twoHosts(options standin.Options) (*world, *host, *host, *standin.Server) {
	w := newWorld()
	server := w.addTarget("t1", options)
	ingress, attached := w.addHost("h0", "seoul-gangnam"), w.addHost("h1", "seoul-gangnam")
	w.own("t1", "h1", 5)
	return w, ingress, attached, server
}
