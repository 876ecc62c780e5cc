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
	"almondrock.example/almondrock/pkg/internal/framing"
	"almondrock.example/almondrock/pkg/target"
)

// maxPeers is the number of hosts of another data centre that are tried when connections cannot be established.
const maxPeers = 3

// maxRefusalBytes bounds the body of a refusal by another host, in bytes.
const maxRefusalBytes = 8 << 10

// forward sends the request to another host and delivers its response. It tries the next address only as long as nothing
// of the request was written.
func (x *exchange) forward(p nextHop) error {
	if x.hops >= maxHops {
		return apierr.New(apierr.LoopDetected, "the request was forwarded %d times", x.hops)
	}
	var err error
	for _, address := range p.addresses[:min(maxPeers, len(p.addresses))] {
		x.logDecision(p, "forward")
		x.sendCount++
		var reply *target.Exchange
		if reply, err = x.sendToPeer(p, address); err == nil {
			return x.relayPeerResponse(reply)
		}
		var send *target.SendError
		if !errors.As(err, &send) || send.WriteStarted || x.ctx.Err() != nil || !x.body.replayable() {
			break
		}
	}
	return x.classifyPeerError(err)
}

func (x *exchange) sendToPeer(p nextHop, address string) (*target.Exchange, error) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.cancelPeers = append(x.cancelPeers, cancel)
	request, err := x.peerRequest(ctx, p, address)
	if err != nil {
		return nil, err
	}
	defer x.watchOwner(p, cancel)()
	defer x.peers.startWatch(address)()
	return x.options.PeerPool.Send(request, nil)
}

// watchInterval is the interval at which a request that waits for another host checks that the target is still attached
// to that host.
const watchInterval = 100 * time.Millisecond

// watchOwner cancels an idempotent request once the owner is attached to another host than the one that got it. That host
// is then lost, and the request would hang until its deadline. A planned move waits for requests in flight, so it does
// not cancel any. The returned function ends the watch.
func (x *exchange) watchOwner(p nextHop, cancel func()) (stop func()) {
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
			cancel()
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

// peerRequest builds the request for another host. It keeps the caller's path, because each host resolves it itself.
func (x *exchange) peerRequest(ctx context.Context, p nextHop, address string) (*http.Request, error) {
	header := x.outgoingHeader()
	header[headerHops] = []string{strconv.Itoa(x.hops + 1)}
	header[headerFrom] = []string{x.options.Directory.Self().DataCentre}
	timeLeft := x.timeLeft() - x.hopMargin(p.dataCentre)
	if timeLeft < time.Millisecond {
		return nil, apierr.New(apierr.DeadlineExceeded, "too little time is left to forward the request")
	}
	header[headerDeadlineMs] = []string{formatMilliseconds(timeLeft)}
	if x.shared() {
		header[headerTarget] = []string{p.target}
	}
	if x.r.ContentLength < 0 || x.r.ContentLength > replayLimit {
		header["Expect"] = []string{"100-continue"}
	}
	body, err := x.paceAcrossRegions(p.dataCentre, true, x.r.ContentLength, x.body.reader())
	if err != nil {
		return nil, err
	}
	requestURL := &url.URL{Scheme: "http", Host: address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery}
	return x.request(ctx, requestURL, header, body), nil
}

// The margins are subtracted from the time that the next host gets, so that its refusal arrives before this host's deadline:
// one way takes up to 1.5 ms within a region and 12 ms between regions.
const (
	sameRegionMargin  = 2 * time.Millisecond
	otherRegionMargin = 15 * time.Millisecond
)

func (x *exchange) hopMargin(dataCentre string) time.Duration {
	if x.options.Directory.Config().RegionOf(dataCentre) == x.options.Directory.Self().Region {
		return sameRegionMargin
	}
	return otherRegionMargin
}

// request builds a request with the caller's method, body length, trailers and Host.
func (x *exchange) request(ctx context.Context, requestURL *url.URL, header http.Header, body io.ReadCloser) *http.Request {
	request := &http.Request{
		Method: x.r.Method, URL: requestURL, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: body, ContentLength: x.r.ContentLength, Trailer: x.r.Trailer, Host: x.r.Host,
	}
	return request.WithContext(ctx)
}

// paceAcrossRegions limits the rate of source to this host's share of the link between regions if dataCentre is in another
// region.
func (x *exchange) paceAcrossRegions(dataCentre string, outbound bool, size int64, source io.ReadCloser) (io.ReadCloser, error) {
	if x.options.LinkPacer == nil || source == http.NoBody {
		return source, nil
	}
	if x.options.Directory.Config().RegionOf(dataCentre) == x.options.Directory.Self().Region {
		return source, nil
	}
	return x.options.LinkPacer.Open(x.ctx, outbound, x.resolution.Class, size, x.timeLeft(), source)
}

// relayPeerResponse delivers the response of another host to the caller, or returns that host's refusal as an error.
func (x *exchange) relayPeerResponse(reply *target.Exchange) error {
	response := reply.Response
	if response.Header.Get(headerRequestID) != x.id {
		reply.Discard()
		x.telemetry.discardedResponses(x.service)
		x.peerLost = true
		return x.lostRefusal("another host answered with another request's id")
	}
	if framing.EndsWithConnection(response) {
		// Hosts state a length or use chunks, so this is a part of a response or comes from another program.
		reply.Discard()
		x.peerLost = true
		return x.lostRefusal("the answer of another host has no length")
	}
	if response.Header.Get(headerRefusal) == "" {
		return x.deliver(&upstreamResponse{exchange: reply, header: response.Header, fromPeer: true})
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	refusal, ok := apierr.Parse(data)
	if err != nil || !ok {
		x.peerLost = true
		return x.lostRefusal("the refusal of another host was cut off")
	}
	return apierr.Wrap(refusal)
}

// classifyPeerError turns the error of a failed exchange with another host into a refusal, or into errAborted when the
// caller has gone.
func (x *exchange) classifyPeerError(err error) error {
	var send *target.SendError
	switch {
	case x.r.Context().Err() != nil:
		return merry.Wrap(errAborted, merry.WithCause(err))
	case !errors.As(err, &send):
		return err
	case !send.WriteStarted && x.ctx.Err() != nil:
		return apierr.New(apierr.DeadlineExceeded, "no connection to the target's host before the deadline")
	case !send.WriteStarted:
		return ownerRefusal(apierr.OwnerUnreachable, "the target's host cannot be reached")
	}
	x.peerLost = true
	return x.lostRefusal("the target's host gave no answer")
}

// lostRefusal returns the refusal of a request that may have run. Its code tells the sender of an idempotent request that
// it may send the request again.
func (x *exchange) lostRefusal(message string) error {
	code := apierr.OutcomeUnknown
	switch {
	case x.resolution.Idempotent && x.ctx.Err() != nil:
		code = apierr.DeadlineExceeded
	case x.resolution.Idempotent:
		code = apierr.OwnerUnreachable
	}
	return apierr.Wrap(&apierr.Refusal{Code: code, Ran: apierr.RunUnknown, Message: message})
}
