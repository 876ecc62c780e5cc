package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/target"
)

// maxPeers is the number of hosts of another data centre that are tried when connects fail.
const maxPeers = 3

// maxRefusalBytes bounds the body of a refusal by another host.
const maxRefusalBytes = 8 << 10

// forward sends the request to the next host and passes its answer on.
func (x *exchange) forward(p place) error {
	if x.hops >= maxHops {
		return apierr.New(apierr.LoopDetected, "the request was forwarded %d times", x.hops)
	}
	var err error
	for _, address := range p.addresses[:min(maxPeers, len(p.addresses))] {
		x.decide(p, "forward")
		x.sends++
		var reply *target.Exchange
		if reply, err = x.sendToPeer(p, address); err == nil {
			return x.passOn(reply)
		}
		var send *target.SendError
		if !errors.As(err, &send) || send.WriteStarted || x.ctx.Err() != nil || !x.body.replayable() {
			break
		}
	}
	return x.peerFailure(err)
}

func (x *exchange) sendToPeer(p place, address string) (*target.Exchange, error) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.cancels = append(x.cancels, cancel)
	request, err := x.peerRequest(ctx, p, address)
	if err != nil {
		return nil, err
	}
	defer x.watchOwner(p, cancel)()
	defer x.peers.watch(address)()
	return x.options.PeerPool.Send(request, nil)
}

// watchInterval is how often a request that waits for another host looks whether that host still has the target.
const watchInterval = 100 * time.Millisecond

// watchOwner gives an idempotent request up once the target has been attached to another host: the first host is lost,
// and the request would hang until its deadline. A planned move waits for requests in flight, so it ends none.
func (x *exchange) watchOwner(p place, giveUp func()) (stop func()) {
	if !x.resolution.Idempotent || x.shared() || p.host == "" {
		return func() {}
	}
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(watchInterval, func() {
		assignment, ok := x.options.Directory.Assignment(x.resolution.Keyspace, x.shard, x.hash)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case ok && assignment.Host != "" && assignment.Host != p.host:
			giveUp()
		default:
			timer.Reset(watchInterval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// peerRequest builds the request for the next host. It keeps the caller's path, because each host resolves it anew.
func (x *exchange) peerRequest(ctx context.Context, p place, address string) (*http.Request, error) {
	header := x.outgoing()
	header[headerHops] = []string{strconv.Itoa(x.hops + 1)}
	header[headerFrom] = []string{x.options.Directory.Self().DataCentre}
	left := x.left() - x.hopMargin(p.dataCentre)
	if left < time.Millisecond {
		return nil, apierr.New(apierr.DeadlineExceeded, "too little time is left to forward the request")
	}
	header[headerDeadlineMs] = []string{milliseconds(left)}
	if x.shared() {
		header[headerTarget] = []string{p.target}
	}
	if x.r.ContentLength < 0 || x.r.ContentLength > replayLimit {
		header["Expect"] = []string{"100-continue"}
	}
	body, err := x.paced(p.dataCentre, true, x.r.ContentLength, x.body.reader())
	if err != nil {
		return nil, err
	}
	link := &url.URL{Scheme: "http", Host: address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery}
	return x.request(ctx, link, header, body), nil
}

// Each hop gets less time than is left, so that its refusal arrives before this host gives up: one way takes up to 1.5 ms
// within a region and 12 ms between regions.
const (
	nearMargin = 2 * time.Millisecond
	farMargin  = 15 * time.Millisecond
)

func (x *exchange) hopMargin(dataCentre string) time.Duration {
	if x.options.Directory.Config().RegionOf(dataCentre) == x.options.Directory.Self().Region {
		return nearMargin
	}
	return farMargin
}

// request makes a request with the caller's method, body length and trailers.
func (x *exchange) request(ctx context.Context, link *url.URL, header http.Header, body io.ReadCloser) *http.Request {
	request := &http.Request{
		Method: x.r.Method, URL: link, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: body, ContentLength: x.r.ContentLength, Trailer: x.r.Trailer, Host: x.r.Host,
	}
	return request.WithContext(ctx)
}

// paced applies the share of the link between regions to bytes that cross it.
func (x *exchange) paced(dataCentre string, outward bool, size int64, source io.ReadCloser) (io.ReadCloser, error) {
	if x.options.LinkPacer == nil || source == http.NoBody {
		return source, nil
	}
	if x.options.Directory.Config().RegionOf(dataCentre) == x.options.Directory.Self().Region {
		return source, nil
	}
	return x.options.LinkPacer.Open(x.ctx, outward, x.resolution.Class, size, x.left(), source)
}

// passOn passes another host's answer on, or returns its refusal.
func (x *exchange) passOn(reply *target.Exchange) error {
	response := reply.Response
	if response.Header.Get(headerRequestID) != x.id {
		reply.Discard()
		x.telemetry.discarded(x.service)
		x.peerLost = true
		return x.lost("another host answered with another request's id")
	}
	if response.Header.Get(headerRefusal) == "" {
		return x.deliver(&answer{exchange: reply, header: response.Header, fromHost: true})
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	refusal, ok := apierr.Parse(data)
	if err != nil || !ok {
		x.peerLost = true
		return x.lost("the refusal of another host was cut off")
	}
	return apierr.Wrap(refusal)
}

// peerFailure gives a failed exchange with another host a type.
func (x *exchange) peerFailure(err error) error {
	var send *target.SendError
	switch {
	case x.r.Context().Err() != nil:
		return merry.Wrap(errAborted, merry.WithCause(err))
	case !errors.As(err, &send):
		return err
	case !send.WriteStarted && x.ctx.Err() != nil:
		return apierr.New(apierr.DeadlineExceeded, "no connection to the target's host before the deadline")
	case !send.WriteStarted:
		return noOwner(apierr.OwnerUnreachable, "the target's host cannot be reached")
	}
	x.peerLost = true
	return x.lost("the target's host gave no answer")
}

// lost is the refusal of a request that may have run. Idempotent ones may be sent again by whoever reads it.
func (x *exchange) lost(message string) error {
	code := apierr.OutcomeUnknown
	switch {
	case x.resolution.Idempotent && x.ctx.Err() != nil:
		code = apierr.DeadlineExceeded
	case x.resolution.Idempotent:
		code = apierr.OwnerUnreachable
	}
	return apierr.Wrap(&apierr.Refusal{Code: code, Ran: apierr.RunUnknown, Message: message})
}
