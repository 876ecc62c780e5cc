package host

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	"almondrock.example/almondrock/pkg/replication"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// callTimeout limits one call to another host.
const callTimeout = time.Second

// call calls another host with callTimeout.
func (h *Host) call(ctx context.Context, address, method string, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.client.Call(ctx, address, method, request, response)
}

// leaderResponse is implemented by the responses of the control group. Members other than the leader fill in its address.
type leaderResponse interface {
	proto.Message
	GetLeaderAddress() string
}

// callControl calls the leader of the control group. It tries the last known leader first, then the seeds in turn, and
// follows the leader addresses in the responses. isFromLeader reports whether response comes from the leader.
func (h *Host) callControl(ctx context.Context, method string, request proto.Message, response leaderResponse, isFromLeader func() bool) error {
	candidates := append([]string{h.knownControlLeader()}, h.seedAddresses()...)
	tried := map[string]bool{"": true}
	var lastErr error
	for len(candidates) > 0 {
		address := candidates[0]
		candidates = candidates[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		proto.Reset(response)
		if err := h.call(ctx, address, method, request, response); err != nil {
			lastErr = err
			continue
		}
		if isFromLeader() {
			h.setControlLeader(address)
			return nil
		}
		candidates = slices.Insert(candidates, 0, response.GetLeaderAddress())
	}
	h.setControlLeader("")
	if lastErr == nil {
		lastErr = merry.Wrap(ErrNoLeader)
	}
	return lastErr
}

func (h *Host) seedAddresses() []string {
	addresses := make([]string, 0, len(h.seeds))
	for _, s := range h.seeds {
		addresses = append(addresses, s.Address)
	}
	return addresses
}

func (h *Host) knownControlLeader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.controlLeaderAddress
}

func (h *Host) setControlLeader(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controlLeaderAddress = address
}

// join registers this host with the control group. It retries until it is accepted or ctx ends.
func (h *Host) join(ctx context.Context) error {
	request := &schemav1.JoinRequest{Host: h.hostRecord()}
	for {
		response := &schemav1.JoinResponse{}
		err := h.callControl(ctx, methodJoin, request, response, response.GetAccepted)
		if err == nil {
			klog.InfoS("joined", "host", h.settings.GetName(), "dataCentre", h.settings.GetDataCentre())
			h.recordControlContact()
			return nil
		}
		klog.V(1).InfoS("cannot join the deployment, will retry", "host", h.settings.GetName(), "err", err)
		if !monotonic.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

func (h *Host) hostRecord() *schemav1.Host {
	return &schemav1.Host{
		Name:          h.settings.GetName(),
		Identity:      h.identity,
		DataCentre:    h.settings.GetDataCentre(),
		Region:        h.settings.GetRegion(),
		RpcAddress:    h.addresses.rpc,
		DataAddress:   h.addresses.data,
		HasDisk:       h.control != nil,
		ControlMember: h.control != nil,
		StartedUnixMs: h.startedUnixMs,
	}
}

// pollLoop polls the control group for changes while this host leads its data centre group or its group has no leader.
func (h *Host) pollLoop(ctx context.Context) {
	if h.join(ctx) != nil {
		return
	}
	for monotonic.Sleep(ctx, pollInterval) {
		h.options.Faults.wait(ctx)
		if request := h.pollRequest(); request != nil {
			h.poll(ctx, request)
		}
	}
}

// pollRequest returns the next poll, or nil when the leader of the data centre group polls for this host.
func (h *Host) pollRequest() *schemav1.PollRequest {
	request := &schemav1.PollRequest{
		Host:       h.settings.GetName(),
		Identity:   h.identity,
		DataCentre: h.settings.GetDataCentre(),
	}
	g := h.group.Load()
	if g == nil {
		return request
	}
	request.Generation = g.table.Generation()
	request.KnownIndex = g.table.ControlView().GetIndex()
	status := g.replica.Status()
	request.HasLeader = h.hasGroupLeader(status)
	driver, leads := g.leads()
	if !leads {
		if request.GetHasLeader() {
			return nil
		}
		return request
	}
	request.LeadsGroup = true
	request.Released = g.table.ReleasedShards()
	request.Capacity = g.table.CapacityByService()
	request.LiveHosts = driver.LiveHosts(h.clock())
	return request
}

// groupLeaderTimeout is how long after the end of its lease a host still relies on the leader that its replica knows. Together with the
// lease it is longer than an election, after which the new leader grants a lease.
const groupLeaderTimeout = 1500 * time.Millisecond

// hasGroupLeader reports whether the data centre group has a leader as far as this host knows. That the replica knows a leader is not
// enough: a learner and a removed member know the last one for ever.
func (h *Host) hasGroupLeader(status replication.Status) bool {
	if status.LeaderID == 0 || status.Sealed {
		return false
	}
	return status.LeaderID == h.identity || h.lease.Remaining() > -groupLeaderTimeout
}

func (h *Host) poll(ctx context.Context, request *schemav1.PollRequest) {
	response := &schemav1.PollResponse{}
	if err := h.callControl(ctx, methodPoll, request, response, response.GetAnswered); err != nil {
		klog.V(2).InfoS("cannot reach the control group", "host", h.settings.GetName(), "err", err)
		return
	}
	h.recordControlContact()
	if view := response.GetView(); view != nil {
		h.applyView(ctx, view)
	}
	if assignment := response.GetGroup(); assignment != nil {
		h.enterGeneration(assignment)
	}
}

// applyView installs a control view on this host and, if it leads its data centre group, commits the view there for the
// other hosts.
func (h *Host) applyView(ctx context.Context, view *schemav1.ControlView) {
	h.views.installIfNewer(view)
	g := h.group.Load()
	if g == nil {
		return
	}
	if _, leads := g.leads(); leads {
		g.proposeAll(ctx, []*schemav1.GroupCommand{{Command: &schemav1.GroupCommand_SetControlView{
			SetControlView: &schemav1.SetControlView{View: view},
		}}})
	}
}

// enterGeneration joins the generation of assignment, unless the host is already in it or a later one, and stops the replica
// of the old generation.
func (h *Host) enterGeneration(assignment *schemav1.GroupAssignment) {
	old := h.group.Load()
	if old != nil && old.table.Generation() >= assignment.GetGeneration() {
		return
	}
	next, err := h.startGroup(assignment)
	if err != nil {
		klog.ErrorS(err, "cannot start the data centre group", "generation", assignment.GetGeneration())
		return
	}
	h.mu.Lock()
	h.group.Store(next)
	// The lease was granted by a leader of the old generation and is unknown to the new one.
	h.lease.Drop()
	h.mu.Unlock()
	if old != nil {
		old.replica.Stop()
	}
}
