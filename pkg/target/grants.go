package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/lease"
)

// Limits of grant requests. A renewal is cancelled after one and a half renewal intervals, so that the next one can start.
const (
	grantTimeout   = 150 * time.Millisecond
	revokeInterval = 50 * time.Millisecond
	// maxGrantResponseBytes limits the body of a GrantResponse.
	maxGrantResponseBytes = 4 << 10
)

// errInvalidGrantResponse reports a response that is not a GrantResponse.
var errInvalidGrantResponse = merry.Sentinel("invalid response to a grant or revocation")

// grantSender sends grants and revocations to one target, one at a time, so that a grant that is still on its way cannot
// arrive after the revocation of the same shard.
type grantSender struct {
	sending   atomic.Bool
	sendAgain atomic.Bool
	// echoesIDs is set once a response had the ID of its call. From then on one without an ID is not accepted.
	echoesIDs atomic.Bool

	mu sync.Mutex
	// bootID is the boot id in the last response.
	bootID string
	// listAllGrants makes the next renewal list all grants, because the target holds more or fewer than it should.
	listAllGrants bool
}

// renewGrants sends pending grants and renews the others in the background. If a renewal is already running, another one
// follows it.
func (a *AttachedTarget) renewGrants() {
	if !a.ChecksFences() {
		return
	}
	a.grantSender.sendAgain.Store(true)
	a.manager.background(func(ctx context.Context) {
		for a.grantSender.sendAgain.Load() && ctx.Err() == nil && a.grantSender.sending.CompareAndSwap(false, true) {
			a.grantSender.sendAgain.Store(false)
			a.grantSender.renew(ctx, a)
			a.grantSender.sending.Store(false)
		}
	})
}

// renew sends one grant request. The grants expire with the host's lease, whose remaining time is read before the request
// is sent.
func (g *grantSender) renew(ctx context.Context, a *AttachedTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := a.manager.remainingLease()
	// A target that was reported as unreachable gets no more grants: the leader waits for the last one to expire.
	if left < time.Millisecond || a.health.isUnreachable() {
		return
	}
	request, sent := g.request(a, left)
	if !request.RenewAll && len(request.Grants) == 0 {
		return
	}
	response, status, err := a.post(ctx, GrantPath, request)
	if err != nil {
		return
	}
	a.applyResponse(sent, response, status)
	if g.bootID != response.BootID {
		// The target has lost the grants of its earlier boot, so RenewAll has renewed none.
		g.listAllGrants = g.bootID != ""
		g.bootID = response.BootID
		if g.listAllGrants {
			a.grantSender.sendAgain.Store(true)
		}
		return
	}
	g.listAllGrants = response.HeldGrants != a.expectedHeld()
}

// request builds the grant request and returns the shard grants that it covers. It uses RenewAll, unless a grant that is
// being revoked must be left to expire or the target may have lost some.
func (g *grantSender) request(a *AttachedTarget, left time.Duration) (*GrantRequest, []*shardGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.manager.options.Clock()
	request := &GrantRequest{
		Host: a.manager.options.Host, Attachment: a.record.GetAttachment(), ExpiryMs: left.Milliseconds(), RenewAll: !g.listAllGrants,
	}
	request.ExpiresAtMs, _ = a.targetClock.deadline(now, left)
	for _, sg := range a.shardGrants {
		if sg.state == grantRevoking {
			request.RenewAll = false
		}
	}
	held := false
	var sent []*shardGrant
	for _, sg := range a.shardGrants {
		if sg.state > grantDraining {
			continue
		}
		held = held || sg.state != grantPending
		if sg.state == grantPending || !request.RenewAll {
			request.Grants = append(request.Grants, sg.wireGrant())
		}
		sg.expires = max(sg.expires, now+latestExpiry(left))
		sent = append(sent, sg)
	}
	request.RenewAll = request.RenewAll && held
	return request, sent
}

// latestExpiry returns the longest time, on this host's clock, until a grant that is sent now has expired at the target. The
// grant may arrive as late as its timeout, and the clocks may run at different rates.
func latestExpiry(left time.Duration) time.Duration {
	return grantTimeout + left + time.Duration(float64(left)*lease.MaxClockRateError)
}

// applyResponse takes over the target's clock and, when status is 200, makes the pending grants among sent active.
func (a *AttachedTarget) applyResponse(sent []*shardGrant, response *GrantResponse, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.targetClock.set(response.ClockMs, a.manager.options.Clock())
	if status != http.StatusOK {
		return
	}
	for _, sg := range sent {
		if sg.state == grantPending {
			sg.state = grantActive
		}
	}
	a.inFlightRequests.notify()
}

// expectedHeld returns the number of grants that the target should hold.
func (a *AttachedTarget) expectedHeld() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, sg := range a.shardGrants {
		if sg.state == grantActive || sg.state == grantDraining {
			count++
		}
	}
	return count
}

// revoke sends one revocation and reports whether the target accepted it.
func (g *grantSender) revoke(ctx context.Context, a *AttachedTarget, sg *shardGrant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.mu.Lock()
	request := &RevokeRequest{
		Host: a.manager.options.Host, Attachment: a.record.GetAttachment(), Grants: []Grant{sg.wireGrant()},
	}
	a.mu.Unlock()
	_, status, err := a.post(ctx, RevokePath, request)
	// Status 409 means that the target has seen a higher fence, so the grant no longer exists either.
	return err == nil && (status == http.StatusOK || status == http.StatusConflict)
}

// post sends one request of the target contract and returns the decoded response and its HTTP status.
func (a *AttachedTarget) post(ctx context.Context, path string, body any) (*GrantResponse, int, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, 0, merry.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://target"+path, bytes.NewReader(data))
	if err != nil {
		return nil, 0, merry.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	id := strconv.FormatUint(rand.Uint64(), 16)
	request.Header.Set(HeaderRequestID, id)
	exchange, err := a.send(request, nil)
	if err != nil {
		return nil, 0, err
	}
	defer exchange.Response.Body.Close()
	if got := exchange.Response.Header.Get(HeaderRequestID); got != id && (got != "" || a.grantSender.echoesIDs.Load()) {
		// A late second copy of the response to an earlier call.
		exchange.Discard()
		return nil, 0, merry.Wrap(errInvalidGrantResponse)
	} else if got == id {
		a.grantSender.echoesIDs.Store(true)
	}
	response := &GrantResponse{}
	if err := json.NewDecoder(io.LimitReader(exchange.Response.Body, maxGrantResponseBytes)).Decode(response); err != nil {
		exchange.Discard()
		return nil, 0, merry.Wrap(errInvalidGrantResponse, merry.WithCause(err))
	}
	return response, exchange.Response.StatusCode, nil
}
