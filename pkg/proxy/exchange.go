package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/keyspace"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// Bounds of requests that state none.
const (
	maxKeyLength    = 1024
	defaultDeadline = 10 * time.Second
	defaultMaxBody  = 8 << 20
	// maxHops is the number of hosts that a request may be forwarded to.
	maxHops = 3
)

// exchange is one request and its answer.
type exchange struct {
	*handler
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context

	id      string
	service string
	// rest is the escaped path after the service, with its leading slash.
	rest       string
	key        string
	tenant     string
	resolution config.Resolution
	hash       uint64
	shard      uint32
	hops       int
	// fromHere is set when a host of this data centre forwarded the request; that host waits for owners itself.
	fromHere bool
	// chosen is the target of a shared service that the first host chose.
	chosen  string
	body    *body
	started time.Duration
	// deadline is on the handler's clock.
	deadline time.Duration
	// answering is set once a byte of the answer may have been sent.
	answering bool
	// retries counts further attempts after the first, of all kinds that the budget pays for.
	retries int
	sends   int
	// pauses counts the waits for an owner.
	pauses int
	// recorded is set while the request has an idempotency record that says begun.
	recorded bool
	// cancels end the attempts at other hosts when the request is over.
	cancels []context.CancelFunc
	// mayHaveRun is set once an attempt ended without certainty. No later refusal may then claim not-run (I7).
	mayHaveRun bool
	// noWait is set when looking for the owner again cannot help.
	noWait bool
	// peerLost is set when another host took the request and gave no answer.
	peerLost bool
}

func (x *exchange) left() time.Duration { return x.deadline - x.options.Clock() }

func (x *exchange) shared() bool {
	return x.resolution.Service.GetKind() == schemav1.ServiceKind_SERVICE_KIND_SHARED
}

// open checks the request and resolves it. It reads nothing of the body.
func (x *exchange) open(callers int64) error {
	x.id = x.requestID()
	x.body = newBody(x.r, http.NewResponseController(x.w))
	if callers > int64(x.options.MaxConcurrentRequests) {
		return overloaded("too many requests at this host")
	}
	if err := checkHeaders(x.r); err != nil {
		return err
	}
	if err := x.parsePath(); err != nil {
		return err
	}
	if err := x.readHeaders(); err != nil {
		return err
	}
	return x.resolve()
}

func overloaded(message string) error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.Overloaded, Ran: apierr.NotRun, Message: message, RetryAfter: time.Second,
	})
}

// requestID keeps a valid id of the caller. Ids of other hosts were checked where they came in.
func (x *exchange) requestID() string {
	given := x.r.Header.Get(headerRequestID)
	if given != "" && (x.forwarded || uuid.Validate(given) == nil) {
		return given
	}
	return x.options.NewRequestID()
}

// parsePath splits /SERVICE/REST. Dot segments are refused, because a target may resolve them to a path with another
// route and other home regions.
func (x *exchange) parsePath() error {
	path := x.r.URL.EscapedPath()
	if !strings.HasPrefix(path, "/") {
		return apierr.New(apierr.BadRequest, "the request target must be a path")
	}
	for segment := range strings.SplitSeq(x.r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return apierr.New(apierr.BadRequest, "the path has a dot segment")
		}
	}
	service, rest, found := strings.Cut(path[1:], "/")
	if service == "" {
		return apierr.New(apierr.UnknownService, "the path names no service")
	}
	x.service, x.rest = service, "/"
	if found {
		x.rest = "/" + rest
	}
	return nil
}

func (x *exchange) readHeaders() error {
	keys, tenants := x.r.Header[headerKey], x.r.Header[headerTenant]
	switch {
	case len(keys) == 0 || keys[0] == "":
		return apierr.New(apierr.MissingKey, "the header %s is missing", headerKey)
	case len(keys) > 1 || len(keys[0]) > maxKeyLength:
		return apierr.New(apierr.BadRequest, "the header %s must be given once, with at most %d bytes", headerKey, maxKeyLength)
	case len(tenants) > 1:
		return apierr.New(apierr.BadRequest, "the header %s is given twice", headerTenant)
	}
	x.key, x.tenant = keys[0], x.r.Header.Get(headerTenant)
	if !x.forwarded {
		return nil
	}
	x.fromHere = x.r.Header.Get(headerFrom) == x.options.Directory.Self().DataCentre
	x.chosen = x.r.Header.Get(headerTarget)
	hops, err := strconv.Atoi(x.r.Header.Get(headerHops))
	if err != nil || hops < 1 {
		return apierr.New(apierr.BadRequest, "the header %s is missing", headerHops)
	}
	x.hops = hops
	return nil
}

// resolve finds what the configuration says about the request and checks the home regions (I5).
func (x *exchange) resolve() error {
	resolver := x.options.Directory.Config()
	if resolver == nil {
		return apierr.New(apierr.NoOwner, "this host has no configuration yet")
	}
	path := strings.TrimPrefix(x.r.URL.Path, "/"+x.service)
	resolution, err := resolver.Resolve(x.service, x.tenant, x.r.Method, path)
	if err != nil {
		return err
	}
	x.resolution = resolution
	home, region := resolution.HomeRegions, x.options.Directory.Self().Region
	if len(home) > 0 && !slices.Contains(home, region) {
		return apierr.New(apierr.WrongRegion, "home regions: %s", strings.Join(home, ", "))
	}
	if err := x.setDeadline(); err != nil {
		return err
	}
	limit := resolution.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	x.body.limit = limit
	x.hash = keyspace.Hash(x.tenant, x.key)
	if resolution.Shards > 0 {
		x.shard = keyspace.Shard(x.hash, resolution.Shards)
	}
	return nil
}

// setDeadline takes the route's deadline, or the caller's if it is earlier.
func (x *exchange) setDeadline() error {
	allowed := x.resolution.Deadline
	if allowed <= 0 {
		allowed = defaultDeadline
	}
	if text := x.r.Header.Get(headerDeadlineMs); text != "" {
		milliseconds, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return apierr.New(apierr.BadRequest, "%s is not a number of milliseconds", headerDeadlineMs)
		}
		allowed = min(allowed, time.Duration(milliseconds)*time.Millisecond)
	}
	if allowed <= 0 {
		return apierr.New(apierr.DeadlineExceeded, "no time was left on arrival")
	}
	x.deadline = x.started + allowed
	return nil
}
