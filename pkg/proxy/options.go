package proxy

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/httpserver"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// Resolver is the part of a configuration revision that the data path reads; *config.Snapshot implements it.
type Resolver interface {
	// Resolve returns what the configuration says about a request. It fails with an apierr refusal.
	Resolve(service, tenant, method, path string) (config.Resolution, error)
	// RegionOf returns the region of a data centre.
	RegionOf(dataCentre string) string
}

// HostInfo names this host and its process.
type HostInfo struct {
	Host       string
	DataCentre string
	Region     string
	// Identity is the process identity of the host. It survives restarts of a host with a disk, and changes with each start
	// of a host without one.
	Identity uint64
}

// Directory is this host's view of the deployment.
type Directory interface {
	// Config returns the configuration revision in force; nil before the first one arrived.
	Config() Resolver
	// Delegation returns the data centre that the shard is delegated to, and the epoch of the delegation.
	Delegation(keyspace string, shard uint32) (dataCentre string, epoch uint64, ok bool)
	// Assignment returns the owner of the key in this data centre. The assignment of a hot key takes precedence over that
	// of its shard.
	Assignment(keyspace string, shard uint32, keyHash uint64) (ownership.Assignment, bool)
	// Targets returns the targets of a service in this data centre.
	Targets(service string) []*schemav1.TargetRecord
	// Target returns a target of this data centre by name.
	Target(name string) (*schemav1.TargetRecord, bool)
	// HostAddress returns the data address of a host of this data centre.
	HostAddress(host string) (address string, ok bool)
	// HostAddressesIn returns the data addresses of the hosts of a data centre.
	HostAddressesIn(dataCentre string) []string
	// Lease returns the time left of this host's lease; zero or less when it has expired.
	Lease() time.Duration
	// Self returns the names and the identity of this host.
	Self() HostInfo
	// Draining reports whether this host drains for a planned stop.
	Draining() bool
}

// RecordStore is the idempotency store of the data centre group.
type RecordStore interface {
	// Begin creates the record and returns it with begun = true, or returns the one in force with begun = false. It fails
	// with an apierr refusal when the store is full; after any other error the record may or may not have been created.
	Begin(ctx context.Context, record *schemav1.IdempotencyRecord) (inForce *schemav1.IdempotencyRecord, begun bool, err error)
	// Finish commits the outcome of a record that Begin created, with the response to store if there is one.
	Finish(ctx context.Context, id []byte, state schemav1.RecordState, response *schemav1.StoredAnswer) error
}

// Targets are the targets attached to this host; *target.Manager implements it.
type Targets interface {
	AttachedTarget(name string) (*target.AttachedTarget, bool)
}

// FailedAttempt is the input of the retry decision after an attempt failed. Package retry documents the rules.
type FailedAttempt struct {
	Idempotent   bool
	Ran          apierr.RunStatus
	BodyConsumed bool
	Left         time.Duration
	RetryAfter   time.Duration
	// Retries counts the attempts after the first one so far.
	Retries int
}

// Retries decides whether failed requests are sent again, within a retry budget.
type Retries interface {
	// CountRequest counts a first attempt, which adds to the budget.
	CountRequest()
	// AllowRetry reports whether the request may be sent again and after which back-off, and takes a retry from the budget
	// if so.
	AllowRetry(attempt FailedAttempt) (wait time.Duration, ok bool)
}

// LinkPacer limits the rate of traffic between regions. The implementation adapts package link.
type LinkPacer interface {
	// Open returns a reader that passes the bytes of source on at the rate of this host's share of the link. outbound is
	// set for bytes that leave this region. size is the length of source, -1 if unknown; Open fails with an apierr refusal
	// when that many bytes cannot pass in timeLeft.
	Open(ctx context.Context, outbound bool, class schemav1.RequestClass, size int64, timeLeft time.Duration, source io.Reader) (io.ReadCloser, error)
}

// Options configure the handlers of one host.
type Options struct {
	Directory Directory
	Targets   Targets
	// RecordStore may be nil; non-idempotent requests with an Idempotency-Key are then refused with record-store-full.
	RecordStore RecordStore
	// RecordTracker tracks the records in RecordStore; both handlers of a host must share it. Each handler has its own when
	// nil.
	RecordTracker *RecordTracker
	// Retries may be nil; requests are then never sent again.
	Retries Retries
	// LinkPacer may be nil; traffic between regions is then not paced.
	LinkPacer LinkPacer
	// ChooseTarget chooses one of the ready targets of a shared service; a random one is chosen when nil.
	ChooseTarget func(service string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord
	// OwnershipChanged returns a channel that closes at the next change of the ownership table, so that requests that wait
	// for an owner continue at once. When nil, they look up the owner again every 10 ms, later every 100 ms.
	OwnershipChanged func() <-chan struct{}
	// PeerPool holds the connections to other hosts; each handler has its own pool when nil.
	PeerPool *target.Pool
	// Log and Scope may be nil.
	Log   *decisionlog.Logger
	Scope tally.Scope
	// Clock must be monotonic; the process clock when nil.
	Clock lease.Clock
	// NewRequestID generates request IDs; random UUIDs when nil.
	NewRequestID func() string
	// MaxConcurrentRequests limits the concurrent requests of each handler; 10,000 when 0.
	MaxConcurrentRequests int
}

// defaultMaxConcurrentRequests bounds memory: a waiting request holds at most about 100 KiB.
const defaultMaxConcurrentRequests = 10_000

// Limits of the connections of callers and other hosts.
const (
	// MaxHeaderBytes limits the header block of a request.
	MaxHeaderBytes = 32 << 10
	// headerTimeout bounds the time to read a header block; bodyTimeout bounds the wait for each part of a body.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	// idleTimeout exceeds the idle timeout of the connection pools, so that a host never closes a connection that another
	// host is about to use.
	idleTimeout = 3 * time.Minute
)

func (o *Options) applyDefaults() {
	if o.ChooseTarget == nil {
		o.ChooseTarget = chooseRandom
	}
	if o.PeerPool == nil {
		o.PeerPool = NewPeerPool(nil, nil)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.NewRequestID == nil {
		o.NewRequestID = uuid.NewString
	}
	if o.MaxConcurrentRequests == 0 {
		o.MaxConcurrentRequests = defaultMaxConcurrentRequests
	}
	if o.RecordTracker == nil && o.RecordStore != nil {
		o.RecordTracker = NewRecordTracker(o.RecordStore)
	}
	if o.Retries == nil {
		o.Retries = noRetries{}
	}
}

type noRetries struct{}

func (noRetries) CountRequest()                                  {}
func (noRetries) AllowRetry(FailedAttempt) (time.Duration, bool) { return 0, false }

func chooseRandom(_ string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord {
	return ready[rand.IntN(len(ready))]
}

// maxIdlePeers is the number of idle connections kept to each other host.
const maxIdlePeers = 256

// NewPeerPool returns a pool for connections to other hosts, without TLS when config is nil. Both handlers of a host may
// share it. dial replaces the dialler in tests and is nil otherwise.
func NewPeerPool(config *tls.Config, dial target.Dial) *target.Pool {
	return target.NewPool(target.PoolOptions{MaxIdle: maxIdlePeers, TLS: config, Dial: dial})
}

// headSlack is by how many bytes a head, with its request line, may exceed MaxHeaderBytes before it is refused without an explanation.
const headSlack = 4 << 10

// NewServer returns a server with the timeouts and limits for callers and other hosts. options has its handler, its bounds on connections and
// memory, and OnRefuse.
func NewServer(options httpserver.Options) *httpserver.Server {
	options.MaxHeaderBytes, options.ReadHeaderTimeout, options.IdleTimeout = MaxHeaderBytes+headSlack, headerTimeout, idleTimeout
	options.StreamsBodies = true
	return httpserver.New(options)
}
