package host

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// callTimeout bounds one call to another host.
const callTimeout = time.Second

// call calls another host with the default deadline.
func (h *Host) call(ctx context.Context, address, method string, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.client.Call(ctx, address, method, request, response)
}

// leaderAnswer is what answers of the control group have in common: those of other members name the leader.
type leaderAnswer interface {
	proto.Message
	GetLeaderAddress() string
}

// callControl calls the leader of the control group: the last one known first, then the seeds in turn, following
// the address that a member names. answered tells whether a response is the leader's.
func (h *Host) callControl(ctx context.Context, method string, request proto.Message, response leaderAnswer, answered func() bool) error {
	candidates := append([]string{h.knownControlLeader()}, h.seedAddresses()...)
	tried := map[string]bool{"": true}
	var last error
	for len(candidates) > 0 {
		address := candidates[0]
		candidates = candidates[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		proto.Reset(response)
		if err := h.call(ctx, address, method, request, response); err != nil {
			last = err
			continue
		}
		if answered() {
			h.setControlLeader(address)
			return nil
		}
		candidates = slices.Insert(candidates, 0, response.GetLeaderAddress())
	}
	h.setControlLeader("")
	if last == nil {
		last = merry.Wrap(ErrNoLeader)
	}
	return last
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
	return h.controlLeader
}

func (h *Host) setControlLeader(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controlLeader = address
}

// join makes this host known to the control group; it repeats until it is accepted.
func (h *Host) join(ctx context.Context) error {
	request := &schemav1.JoinRequest{Host: h.record()}
	for {
		response := &schemav1.JoinResponse{}
		err := h.callControl(ctx, methodJoin, request, response, response.GetAccepted)
		if err == nil {
			klog.InfoS("joined", "host", h.settings.GetName(), "dataCentre", h.settings.GetDataCentre())
			h.touchControl()
			return nil
		}
		klog.V(1).InfoS("join failed, trying again", "host", h.settings.GetName(), "err", err)
		if !pause(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

func (h *Host) record() *schemav1.Host {
	return &schemav1.Host{
		Name:          h.settings.GetName(),
		Identity:      h.identity,
		DataCentre:    h.settings.GetDataCentre(),
		Region:        h.settings.GetRegion(),
		RpcAddress:    h.addresses.rpc,
		DataAddress:   h.addresses.data,
		HasDisk:       h.control != nil,
		ControlMember: h.control != nil,
		StartedUnixMs: h.started,
	}
}

// pollLoop asks the control group for news: leaders of a data centre group do, and hosts without a leader.
func (h *Host) pollLoop(ctx context.Context) {
	if h.join(ctx) != nil {
		return
	}
	for pause(ctx, pollInterval) {
		h.options.Faults.wait(ctx)
		if request := h.pollRequest(); request != nil {
			h.poll(ctx, request)
		}
	}
}

// pollRequest returns nil when the leader of the group polls for this host.
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
	request.HasLeader = status.LeaderID != 0 && !status.Sealed
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

func (h *Host) poll(ctx context.Context, request *schemav1.PollRequest) {
	response := &schemav1.PollResponse{}
	if err := h.callControl(ctx, methodPoll, request, response, response.GetAnswered); err != nil {
		klog.V(2).InfoS("control group not reached", "host", h.settings.GetName(), "err", err)
		return
	}
	h.touchControl()
	if view := response.GetView(); view != nil {
		h.takeView(ctx, view)
	}
	if assignment := response.GetGroup(); assignment != nil {
		h.enterGeneration(assignment)
	}
}

// takeView hands a view to the whole data centre by way of its group. A host outside a group keeps it for itself.
func (h *Host) takeView(ctx context.Context, view *schemav1.ControlView) {
	h.views.offer(view)
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

// enterGeneration replaces the membership in an older generation.
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
	// The lease was granted by a leader of the old generation, which the new one does not count on.
	h.lease.Drop()
	h.mu.Unlock()
	if old != nil {
		old.replica.Stop()
	}
}

// pause waits for d and reports false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
