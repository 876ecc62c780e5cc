package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"almondrock.example/almondrock/pkg/lease"
)

// Bounds of grants. A renewal that takes longer than one and a half intervals is given up, so that the next can start.
const (
	grantTimeout   = 150 * time.Millisecond
	revokeInterval = 50 * time.Millisecond
	// maxGrantResponse bounds the answer to a grant.
	maxGrantResponse = 4 << 10
)

// errGrant is an answer that is no GrantResponse.
var errGrant = merry.Sentinel("unexpected answer to a grant")

// granter sends grants and revocations to one target, one at a time: a grant that is still on its way must not arrive
// after the revocation of the same shard.
type granter struct {
	busy  atomic.Bool
	again atomic.Bool

	mu sync.Mutex
	// boot is the boot id of the last answer.
	boot string
	// resend lists all grants in the next renewal, because the target holds more or fewer than it should.
	resend bool
}

// renewGrants sends pending grants and renews the others. It returns at once; a renewal that is still going on is
// followed by another.
func (a *AttachedTarget) renewGrants() {
	if !a.ChecksFences() {
		return
	}
	a.granter.again.Store(true)
	a.manager.background(func(ctx context.Context) {
		for a.granter.again.Load() && ctx.Err() == nil && a.granter.busy.CompareAndSwap(false, true) {
			a.granter.again.Store(false)
			a.granter.renew(ctx, a)
			a.granter.busy.Store(false)
		}
	})
}

// renew sends one request. The grants expire with the host's lease, counted from before the request is sent.
func (g *granter) renew(ctx context.Context, a *AttachedTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := a.manager.lease()
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
	a.accept(sent, response, status)
	if g.boot != response.BootID {
		// Grants of an earlier boot are gone, and a renewal of all renewed none.
		g.resend = g.boot != ""
		g.boot = response.BootID
		if g.resend {
			a.granter.again.Store(true)
		}
		return
	}
	g.resend = response.HeldGrants != a.expectedHeld()
}

// request builds the renewal. It renews all grants at once, unless one of them must be left to expire or the target
// may have lost some.
func (g *granter) request(a *AttachedTarget, left time.Duration) (*GrantRequest, []*unit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.manager.options.Clock()
	request := &GrantRequest{
		Host: a.manager.options.Host, Attachment: a.record.GetAttachment(), ExpiryMs: left.Milliseconds(), RenewAll: !g.resend,
	}
	request.ExpiresAtMs, _ = a.clock.at(now, left)
	for _, u := range a.units {
		if u.state == unitRevoking {
			request.RenewAll = false
		}
	}
	held := false
	var sent []*unit
	for _, u := range a.units {
		if u.state > unitStopping {
			continue
		}
		held = held || u.state != unitPending
		if u.state == unitPending || !request.RenewAll {
			request.Grants = append(request.Grants, u.grant())
		}
		u.expires = max(u.expires, now+latestExpiry(left))
		sent = append(sent, u)
	}
	request.RenewAll = request.RenewAll && held
	return request, sent
}

// latestExpiry bounds when a grant that is sent now is over at the target, by this host's clock: it may arrive as late
// as its time-out.
func latestExpiry(left time.Duration) time.Duration {
	return grantTimeout + left + time.Duration(float64(left)*lease.MaxClockRateError)
}

// accept records the target's answer.
func (a *AttachedTarget) accept(sent []*unit, response *GrantResponse, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clock.set(response.ClockMs, a.manager.options.Clock())
	if status != http.StatusOK {
		return
	}
	for _, u := range sent {
		if u.state == unitPending {
			u.state = unitGranted
		}
	}
	a.flights.notify()
}

// expectedHeld is the number of grants that the target should hold.
func (a *AttachedTarget) expectedHeld() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, u := range a.units {
		if u.state == unitGranted || u.state == unitStopping {
			count++
		}
	}
	return count
}

// revoke sends one revocation and reports whether the target accepted it.
func (g *granter) revoke(ctx context.Context, a *AttachedTarget, u *unit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.mu.Lock()
	request := &RevokeRequest{
		Host: a.manager.options.Host, Attachment: a.record.GetAttachment(), Grants: []Grant{u.grant()},
	}
	a.mu.Unlock()
	_, status, err := a.post(ctx, RevokePath, request)
	// A conflict means that the target has seen a higher fence, so the grant is gone as well.
	return err == nil && (status == http.StatusOK || status == http.StatusConflict)
}

// post sends one request of the contract to the target.
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
	exchange, err := a.send(request, nil)
	if err != nil {
		return nil, 0, err
	}
	defer exchange.Response.Body.Close()
	answer := &GrantResponse{}
	if err := json.NewDecoder(io.LimitReader(exchange.Response.Body, maxGrantResponse)).Decode(answer); err != nil {
		exchange.Discard()
		return nil, 0, merry.Wrap(errGrant, merry.WithCause(err))
	}
	return answer, exchange.Response.StatusCode, nil
}
