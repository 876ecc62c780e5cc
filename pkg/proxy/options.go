package proxy

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/decisionlog"
	"almondrock.example/almondrock/pkg/lease"
	"almondrock.example/almondrock/pkg/ownership"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/target"
)

// Resolver is the part of a configuration revision that the data path reads; *config.Snapshot implements it.
type Resolver interface {
	// Resolve fails with an apierr refusal.
	Resolve(service, tenant, method, path string) (config.Resolution, error)
	RegionOf(dataCentre string) string
}

// HostInfo is where this process runs.
type HostInfo struct {
	Host       string
	DataCentre string
	Region     string
	// Identity is the identity of this process; it changes with each start of a host without a disk.
	Identity uint64
}

// Directory is what this host knows of the deployment.
type Directory interface {
	// Config is the revision in force; nil before the first one arrived.
	Config() Resolver
	// Delegation is the data centre that the shard is delegated to.
	Delegation(keyspace string, shard uint32) (dataCentre string, epoch uint64, ok bool)
	// Assignment is the owner of the key in this data centre, by hot key first.
	Assignment(keyspace string, shard uint32, keyHash uint64) (ownership.Assignment, bool)
	Targets(service string) []*schemav1.TargetRecord
	Target(name string) (*schemav1.TargetRecord, bool)
	// HostAddress is the data address of a host of this data centre.
	HostAddress(host string) (address string, ok bool)
	// HostAddressesIn are the data addresses of the hosts of a data centre.
	HostAddressesIn(dataCentre string) []string
	// Lease is what is left of this host's lease; zero or less when it is over.
	Lease() time.Duration
	Self() HostInfo
	Draining() bool
}

// RecordStore is the idempotency store of the data centre group.
type RecordStore interface {
	// Begin creates the record, or returns the one in force and false. It fails with an apierr refusal when the store is
	// full; any other error leaves open whether the record was created.
	Begin(ctx context.Context, record *schemav1.IdempotencyRecord) (inForce *schemav1.IdempotencyRecord, begun bool, err error)
	Finish(ctx context.Context, id []byte, state schemav1.RecordState, answer *schemav1.StoredAnswer) error
}

// Targets are the targets attached to this host; *target.Manager implements it.
type Targets interface {
	AttachedTarget(name string) (*target.AttachedTarget, bool)
}

// FailedAttempt is what is known after an attempt failed. Package retry decides on it.
type FailedAttempt struct {
	Idempotent   bool
	Ran          apierr.RunStatus
	BodyConsumed bool
	Left         time.Duration
	RetryAfter   time.Duration
	// Retries counts the attempts after the first one so far.
	Retries int
}

// Retries decides on further attempts and keeps their budget.
type Retries interface {
	// CountRequest counts a request.
	CountRequest()
	// AllowRetry reports whether the request may be sent again and after which pause, and takes that attempt from the budget.
	AllowRetry(attempt FailedAttempt) (wait time.Duration, ok bool)
}

// LinkPacer paces traffic between regions; package link implements it.
type LinkPacer interface {
	// Open returns a reader that passes the bytes of source at the rate that this host has. It fails with an apierr
	// refusal when size bytes, if known, cannot pass in the time left.
	Open(ctx context.Context, outward bool, class schemav1.RequestClass, size int64, left time.Duration, source io.Reader) (io.ReadCloser, error)
}

// Options configure the handlers of one host.
type Options struct {
	Directory Directory
	Targets   Targets
	// RecordStore may be nil; requests with an Idempotency-Key are then refused with record-store-full.
	RecordStore RecordStore
	// RecordTracker is over Records, and both handlers of a host must share it; one of its own when nil.
	RecordTracker *RecordTracker
	// Retries may be nil; nothing is then sent again.
	Retries Retries
	// LinkPacer may be nil; nothing is then paced.
	LinkPacer LinkPacer
	// ChooseTarget chooses among the ready targets of a shared service; at random when nil.
	ChooseTarget func(service string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord
	// OwnershipChanged returns a channel that closes at the next change of the table, so that requests that wait for an owner go
	// on at once. They look again every 10 ms when it is nil.
	OwnershipChanged func() <-chan struct{}
	// PeerPool are the connections to other hosts; a pool of its own when nil.
	PeerPool *target.Pool
	// Log and Scope may be nil.
	Log   *decisionlog.Logger
	Scope tally.Scope
	// Clock is monotonic; the process clock when nil.
	Clock lease.Clock
	// NewRequestID makes request ids; UUIDs when nil.
	NewRequestID func() string
	// MaxConcurrentRequests limits concurrent requests; 10,000 when 0.
	MaxConcurrentRequests int
}

// defaultMaxCallers bounds memory: a waiting request holds about 100 KiB at most.
const defaultMaxCallers = 10_000

// Bounds of callers.
const (
	// MaxHeaderBytes limits the header block of a request.
	MaxHeaderBytes = 32 << 10
	// headerTimeout and bodyTimeout are how long a caller may send nothing.
	headerTimeout = 10 * time.Second
	bodyTimeout   = 30 * time.Second
	// idleTimeout exceeds that of the pools, so that a host never closes a connection that another is about to use.
	idleTimeout = 3 * time.Minute
)

func (o *Options) applyDefaults() {
	if o.ChooseTarget == nil {
		o.ChooseTarget = chooseAny
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
		o.MaxConcurrentRequests = defaultMaxCallers
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

func chooseAny(_ string, ready []*schemav1.TargetRecord) *schemav1.TargetRecord {
	return ready[rand.IntN(len(ready))]
}

// maxIdlePeers is the number of idle connections kept to each other host.
const maxIdlePeers = 256

// NewPeerPool returns a pool for connections to other hosts, in plain text when config is nil. Ingress and forwarded
// handlers may share it. dial is nil outside tests.
func NewPeerPool(config *tls.Config, dial target.Dial) *target.Pool {
	return target.NewPool(target.PoolOptions{MaxIdle: maxIdlePeers, TLS: config, Dial: dial})
}

// NewServer returns a server with the time-outs and limits that callers and hosts get.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes,
	}
}
