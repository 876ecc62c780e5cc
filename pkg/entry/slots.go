package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/dispatch"
	"almondrock.example/almondrock/pkg/guard"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/slots"
)

// slotNode is the part of a host that takes part in the scheduling of slots: it asks the schedulers of other hosts for turns, and schedules
// the groups of targets that are assigned to this host.
type slotNode struct {
	host      *Host
	metrics   *slotMetrics
	transport *slotTransport
	asker     *slotAsker
	scheduler *slotScheduler

	planMu sync.Mutex
	// plannedAt is when the groups were last computed; planTimer is set while a later view waits for that.
	plannedAt time.Duration
	planTimer *time.Timer
	closed    bool
}

// planInterval is the least time between two computations of the groups, which take about half a millisecond in large deployments. While a
// deployment starts, views change with each target. Until then, hosts release turns at targets that their views exclude.
const planInterval = 100 * time.Millisecond

// newSlotNode returns the slot node of a host, or nil if the host has no slot address.
func newSlotNode(h *Host) *slotNode {
	if h.options.SlotAddress == "" {
		return nil
	}
	n := &slotNode{host: h, metrics: newSlotMetrics(h.requestMetrics.scope)}
	n.transport = newSlotTransport(h.now, n.metrics, n.receive)
	n.asker = newSlotAsker(n, rand.Uint64())
	n.scheduler = newSlotScheduler(n)
	return n
}

// start opens the socket.
func (n *slotNode) start() error {
	address, err := net.ResolveUDPAddr("udp", n.host.options.SlotAddress)
	if err != nil {
		return merry.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return merry.Wrap(err)
	}
	n.transport.conn = conn
	return nil
}

// run receives datagrams until the socket is closed.
func (n *slotNode) run(ctx context.Context) { n.transport.receiveAll(ctx) }

// close refuses the waiting asks of other hosts, so that they do not wait for answers, and closes the socket.
func (n *slotNode) close() {
	n.planMu.Lock()
	n.closed = true
	if n.planTimer != nil {
		n.planTimer.Stop()
	}
	n.planMu.Unlock()
	n.scheduler.close()
	n.transport.close()
}

// receive handles a datagram of another host.
func (n *slotNode) receive(from netip.AddrPort, datagram *schemav1.SlotDatagram) {
	origin := slotOrigin{address: from, asker: datagram.GetAsker()}
	now := n.host.now()
	if len(datagram.GetAsks())+len(datagram.GetReleases()) > 0 {
		n.scheduler.receive(now, origin, datagram)
	}
	if datagram.GetAsker() != n.asker.start {
		// Answers to an earlier process of this host. Its turns expire with the deadlines of their requests.
		return
	}
	for _, turn := range datagram.GetTurns() {
		n.asker.deliver(now, from, slotAnswer{sequence: turn.GetSequence(), kind: slotTurn, target: turn.GetTarget(), group: turn.GetGroup(), state: turn.GetState()})
	}
	for _, refusal := range datagram.GetRefusals() {
		n.asker.deliver(now, from, slotAnswer{
			sequence: refusal.GetSequence(), kind: slotRefused, reason: slots.Reason(refusal.GetReason()),
			retryAfter: time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond, state: refusal.GetState(),
		})
	}
	for _, queued := range datagram.GetQueued() {
		n.asker.deliver(now, from, slotAnswer{sequence: queued.GetSequence(), kind: slotQueued, state: queued.GetState()})
	}
}

// viewChanged computes the groups from the view in force, at once or planInterval after the last time.
func (n *slotNode) viewChanged() {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	if n.closed || n.planTimer != nil {
		return
	}
	if wait := n.plannedAt + planInterval - n.host.now(); n.plannedAt > 0 && wait > 0 {
		n.planTimer = time.AfterFunc(wait, func() { guard.Do("plan slot groups", n.planLater) })
		return
	}
	n.plan()
}

func (n *slotNode) planLater() {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	n.planTimer = nil
	if !n.closed {
		n.plan()
	}
}

// plan computes the groups, and lets this host schedule those that are assigned to it. The caller must hold planMu.
func (n *slotNode) plan() {
	v, now := n.host.current(), n.host.now()
	n.plannedAt = now
	plan := newSlotPlan(v, n.host.options.Name, n.host.options.Regions)
	n.host.dispatcher.SetScheduled(slices.Collect(maps.Keys(plan.services)))
	n.asker.setPlan(plan)
	n.scheduler.setPlan(now, plan, v)
}

// slotPlan has the groups of the scheduled services according to one view. It is immutable.
type slotPlan struct {
	groups   map[uint32]*slotGroup
	services map[string]*slotService
}

// slotService is a scheduled service.
type slotService struct {
	groups []*slotGroup
	// ungrouped has the IDs of the targets that are in no group, because there is no entry host in their data centre.
	ungrouped map[string]bool
}

// slotGroup is a group of targets and the host that schedules it.
type slotGroup struct {
	id                                uint32
	service, dataCentre, region, host string
	// address is the slot address of the host; it is not valid if the host is this one.
	address netip.AddrPort
	// targets has the IDs of the targets, byHash the same by their hashes.
	targets []string
	byHash  map[uint32]string
}

// isLocal reports whether this host schedules the group.
func (g *slotGroup) isLocal() bool { return !g.address.IsValid() }

// newSlotPlan returns the plan of the host named self. regions maps data centres to regions.
func newSlotPlan(v *view, self string, regions map[string]string) *slotPlan {
	plan := &slotPlan{groups: map[uint32]*slotGroup{}, services: map[string]*slotService{}}
	if v.table == nil {
		return plan
	}
	addresses := map[string]netip.AddrPort{}
	var hosts []slots.Node
	for _, entry := range v.entryHosts {
		if entry.GetSlotAddress() == "" {
			continue
		}
		address, err := netip.ParseAddrPort(entry.GetSlotAddress())
		if err != nil {
			klog.ErrorS(err, "slot address cannot be used", "entry", entry.GetName(), "address", entry.GetSlotAddress())
			continue
		}
		if entry.GetName() == self {
			address = netip.AddrPort{}
		}
		addresses[entry.GetName()] = address
		hosts = append(hosts, slots.Node{Name: entry.GetName(), DataCentre: entry.GetDataCentre()})
	}
	targets, slotCounts := map[string][]slots.Node{}, map[string][]int{}
	for id, t := range v.targets {
		targets[t.GetService()] = append(targets[t.GetService()], slots.Node{Name: id, DataCentre: t.GetDataCentre()})
		slotCounts[t.GetService()] = append(slotCounts[t.GetService()], int(t.GetSlots()))
	}
	for name, nodes := range targets {
		configured := v.table.Configuration.Services[name]
		if !slots.Scheduled(configured.Exclusive, len(v.entryHosts), slotCounts[name]) {
			continue
		}
		service := &slotService{ungrouped: map[string]bool{}}
		for _, node := range nodes {
			service.ungrouped[node.Name] = true
		}
		for _, assigned := range slots.Assign(name, nodes, hosts) {
			if plan.groups[assigned.ID] != nil {
				// Two groups have the same hash. The targets of the second are selected directly.
				continue
			}
			g := &slotGroup{
				id: assigned.ID, service: name, dataCentre: assigned.DataCentre, region: regions[assigned.DataCentre], host: assigned.Host,
				address: addresses[assigned.Host], targets: assigned.Targets, byHash: make(map[uint32]string, len(assigned.Targets)),
			}
			for _, id := range assigned.Targets {
				g.byHash[dispatch.TargetHash(id)] = id
				delete(service.ungrouped, id)
			}
			plan.groups[g.id] = g
			service.groups = append(service.groups, g)
		}
		if len(service.groups) > 0 {
			plan.services[name] = service
		}
	}
	return plan
}
