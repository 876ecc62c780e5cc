package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// errAborted ends a request that gets no refusal, because its response has begun and cannot be completed or because its
// caller has gone. The caller's stream is reset.
var errAborted = merry.Sentinel("request aborted: response incomplete or caller gone")

// handler serves requests of callers, or requests forwarded by other hosts when forwarded is set.
type handler struct {
	options   Options
	forwarded bool
	telemetry *telemetry
	inFlight  atomic.Int64
	peers     *peerHealth
}

// NewIngressHandler returns the handler for requests of callers.
func NewIngressHandler(options Options) http.Handler { return newHandler(options, false) }

// NewForwardedHandler returns the handler for requests that other hosts forward. Its listener must be open to hosts only,
// because it trusts their internal headers.
func NewForwardedHandler(options Options) http.Handler { return newHandler(options, true) }

func newHandler(options Options, forwarded bool) *handler {
	options.applyDefaults()
	return &handler{
		options: options, forwarded: forwarded, telemetry: newTelemetry(options.Scope),
		peers: newPeerHealth(options.PeerPool, options.Clock),
	}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{handler: h, w: w, r: r, started: h.options.Clock()}
	defer h.inFlight.Add(-1)
	err := x.prepare(h.inFlight.Add(1))
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), x.timeLeft())
		x.ctx = ctx
		err = x.serve()
		cancel()
		for _, cancel := range x.cancelPeers {
			cancel()
		}
	}
	if x.service != "" {
		h.telemetry.recordRequest(x, err)
	}
	if err == nil {
		return
	}
	if x.ctx == nil {
		x.logDecision(nextHop{}, string(apierr.From(err).Code))
	}
	if x.responseStarted || errors.Is(err, errAborted) || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	x.writeRefusal(x.adjustRan(err))
}

// draining reports whether callers should go to another host, because this one drains for a planned stop (I10). Requests
// that still arrive are served, so no caller sees the stop.
func (x *exchange) draining() bool { return !x.forwarded && x.options.Directory.Draining() }

// adjustRan replaces not-run by unknown in the refusal of the last attempt if an earlier attempt may have run (I7).
func (x *exchange) adjustRan(err error) error {
	refusal := *apierr.From(err)
	if !x.mayHaveRun || refusal.Ran != apierr.NotRun {
		return err
	}
	refusal.Ran = apierr.RunUnknown
	return apierr.Wrap(&refusal)
}

// writeRefusal sends the refusal. A header shows a forwarding host that the response comes from a host, not a target.
func (x *exchange) writeRefusal(err error) {
	header := x.w.Header()
	clear(header)
	header.Set(headerRequestID, x.id)
	if x.forwarded {
		header.Set(headerRefusal, string(apierr.From(err).Code))
	}
	if x.draining() || !x.body.finished() {
		// The rest of the request body is not needed; reading it would keep a slow caller's connection busy.
		header.Set("Connection", "close")
	}
	apierr.Write(x.w, x.id, err)
}
