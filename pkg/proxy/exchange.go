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

// Limits of requests. The defaults apply where the route sets none.
const (
	maxKeyLength    = 1024
	defaultDeadline = 10 * time.Second
	defaultMaxBody  = 8 << 20
	// maxHops is the number of hosts that a request may be forwarded to.
	maxHops = 3
)

// exchange serves one request; it is created per request.
type exchange struct {
	*handler
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context

	id      string
	service string
	// targetPath is the escaped path after the service name, with its leading slash.
	targetPath string
	key        string
	tenant     string
	resolution config.Resolution
	hash       uint64
	shard      uint32
	hops       int
	// fromOwnDataCentre is set when a host of this data centre forwarded the request; that host waits for owners itself.
	fromOwnDataCentre bool
	// chosenTarget is the target of a shared service that the forwarding host chose; empty otherwise.
	chosenTarget string
	body         *body
	started      time.Duration
	// deadline is a reading of the handler's clock, like started.
	deadline time.Duration
	// responseStarted is set once a byte of the response may have been sent to the caller.
	responseStarted bool
	// retries counts the attempts after the first that were taken from the retry budget, whatever their reason.
	retries int
	// sendCount counts sends to targets and to other hosts.
	sendCount int
	// waitCount counts the waits for an owner.
	waitCount int
	// hasOpenRecord is set while the request has an idempotency record in the state begun.
	hasOpenRecord bool
	// cancelPeers cancel the attempts at other hosts when the request is over.
	cancelPeers []context.CancelFunc
	// mayHaveRun is set once the target may have run an attempt. No later refusal may then claim not-run (I7).
	mayHaveRun bool
	// skipOwnerWait is set when waiting for another owner cannot help.
	skipOwnerWait bool
	// peerLost is set when another host got the request and gave no valid response.
	peerLost bool
}

func (x *exchange) timeLeft() time.Duration { return x.deadline - x.options.Clock() }

func (x *exchange) shared() bool {
	return x.resolution.Service.GetKind() == schemav1.ServiceKind_SERVICE_KIND_SHARED
}

// prepare validates the request and resolves its route. It reads nothing of the body. inFlight counts the requests that
// the handler serves now, with this one.
func (x *exchange) prepare(inFlight int64) error {
	x.id = x.requestID()
	x.body = newBody(x.r, http.NewResponseController(x.w))
	if inFlight > int64(x.options.MaxConcurrentRequests) {
		return overloadedRefusal("too many requests at this host")
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

func overloadedRefusal(message string) error {
	return apierr.Wrap(&apierr.Refusal{
		Code: apierr.Overloaded, Ran: apierr.NotRun, Message: message, RetryAfter: time.Second,
	})
}

// requestID returns the caller's request ID if it is a valid UUID, else a new one. The ID of a forwarded request was
// checked by the host that received it from the caller.
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
	service, targetPath, found := strings.Cut(path[1:], "/")
	if service == "" {
		return apierr.New(apierr.UnknownService, "the path names no service")
	}
	x.service, x.targetPath = service, "/"
	if found {
		x.targetPath = "/" + targetPath
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
	x.fromOwnDataCentre = x.r.Header.Get(headerFrom) == x.options.Directory.Self().DataCentre
	x.chosenTarget = x.r.Header.Get(headerTarget)
	hops, err := strconv.Atoi(x.r.Header.Get(headerHops))
	if err != nil || hops < 1 {
		return apierr.New(apierr.BadRequest, "the header %s is missing", headerHops)
	}
	x.hops = hops
	return nil
}

// resolve looks up the request's route in the configuration, checks the home regions (I5) and applies the route's limits.
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

// setDeadline applies the route's deadline, or the caller's if it is earlier.
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
