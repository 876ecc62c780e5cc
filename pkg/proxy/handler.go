package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/apierr"
)

// errAborted ends a request whose answer has begun but cannot be completed: the caller's stream is reset.
var errAborted = merry.Sentinel("the answer cannot be completed")

// handler serves requests of callers, or of other hosts when forwarded is set.
type handler struct {
	options   Options
	forwarded bool
	telemetry *telemetry
	callers   atomic.Int64
	peers     *peerHealth
}

// NewIngressHandler returns the handler for callers.
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
	defer h.callers.Add(-1)
	err := x.open(h.callers.Add(1))
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), x.left())
		x.ctx = ctx
		err = x.serve()
		cancel()
		for _, cancel := range x.cancels {
			cancel()
		}
	}
	if x.service != "" {
		h.telemetry.request(x, err)
	}
	if err == nil {
		return
	}
	if x.ctx == nil {
		x.decide(place{}, string(apierr.From(err).Code))
	}
	if x.answering || errors.Is(err, errAborted) || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	x.refuse(x.truthful(err))
}

// leaving reports whether callers should go to another host: this one drains for a planned stop (I10). It serves what
// still comes, so no caller sees the stop.
func (x *exchange) leaving() bool { return !x.forwarded && x.options.Directory.Draining() }

// truthful takes back the claim of a last attempt that an earlier one may not share.
func (x *exchange) truthful(err error) error {
	refusal := *apierr.From(err)
	if !x.mayHaveRun || refusal.Ran != apierr.NotRun {
		return err
	}
	refusal.Ran = apierr.RunUnknown
	return apierr.Wrap(&refusal)
}

// refuse answers with the refusal. Another host learns from a header that the answer is no target's.
func (x *exchange) refuse(err error) {
	header := x.w.Header()
	clear(header)
	header.Set(headerRequestID, x.id)
	if x.forwarded {
		header.Set(headerRefusal, string(apierr.From(err).Code))
	}
	if x.leaving() || !x.body.finished() {
		// The rest of the body is not wanted; reading it would keep a slow caller's connection busy.
		header.Set("Connection", "close")
	}
	apierr.Write(x.w, x.id, err)
}
