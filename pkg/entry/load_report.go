package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// minReportInterval is the least time between load reports to the other hosts of the region. Requests take 100 ms and
	// more, so that little changes in between.
	minReportInterval = 15 * time.Millisecond
	// reportIntervalPerPeer bounds the average rate of datagrams: 250 per second take about 2 % of a core.
	reportIntervalPerPeer = 3 * time.Millisecond
	// reportLinkShare bounds the share of the network link that load reports take. With 23 hosts in a data centre and links of 3 Mbit/s,
	// reports as often as the processor allows delay requests more than their information saves.
	reportLinkShare = 0.03
	// datagramOverhead is the size in bytes of the IP and UDP headers of a datagram.
	datagramOverhead = 28
	// maxRegionPeers is the number of peers in the region above which reports go only to those in the own data centre.
	maxRegionPeers = 12
	// reportRepeatInterval is how often an unchanged report is sent again, in case datagrams were lost.
	reportRepeatInterval = 400 * time.Millisecond
	// maxReportSize is the size of the largest datagram in bytes.
	maxReportSize = 4 << 10
)

// setPeers sets the addresses of the entry hosts of the region that get load reports.
func (h *Host) setPeers(entries []*schemav1.EntryHost) {
	var regionHosts []*schemav1.EntryHost
	for _, entry := range entries {
		if entry.GetName() != h.options.Name && h.options.Regions[entry.GetDataCentre()] == h.options.Region {
			regionHosts = append(regionHosts, entry)
		}
	}
	if len(regionHosts) > maxRegionPeers {
		regionHosts = slices.DeleteFunc(regionHosts, func(e *schemav1.EntryHost) bool { return e.GetDataCentre() != h.options.DataCentre })
	}
	var peers []*net.UDPAddr
	for _, entry := range regionHosts {
		address, err := net.ResolveUDPAddr("udp", entry.GetLoadAddress())
		if err != nil {
			klog.ErrorS(err, "load address cannot be used", "entry", entry.GetName(), "address", entry.GetLoadAddress())
			continue
		}
		peers = append(peers, address)
	}
	h.peers.Store(&peers)
}

// reportInterval returns the time between two load reports to a number of peers, of which the last had size bytes. capacity is that of the
// link in bytes per second, or 0 if it is not known.
func reportInterval(peers, size int, capacity float64) time.Duration {
	interval := max(minReportInterval, time.Duration(peers)*reportIntervalPerPeer)
	if capacity <= 0 {
		return interval
	}
	bytes := float64(peers * (size + datagramOverhead))
	// Peers forget a host that does not report for longer.
	return max(interval, min(reportRepeatInterval, time.Duration(bytes/(capacity*reportLinkShare)*float64(time.Second))))
}

// sendLoadReports sends the requests in flight to the peers whenever they have changed, and forgets peers that do not report any more,
// until ctx ends.
func (h *Host) sendLoadReports(ctx context.Context) {
	start, sequence := rand.Uint64(), uint64(0)
	lastSent, lastSize := time.Duration(0), 0
	lastReportEmpty := false
	for {
		monotonic.Sleep(ctx, reportInterval(len(*h.peers.Load()), lastSize, h.options.LinkCapacity))
		if ctx.Err() != nil {
			return
		}
		now := h.now()
		h.dispatcher.ExpirePeers(now)
		report, changed := h.dispatcher.InFlightReport()
		h.dispatcher.AddPauses(now, report)
		due := now-lastSent > reportRepeatInterval
		if !changed && (!due || lastReportEmpty) {
			select {
			case <-ctx.Done():
				return
			case <-h.loadChanged:
			case <-time.After(reportRepeatInterval):
			}
			continue
		}
		lastSent, lastReportEmpty = now, len(report.GetTargets())+len(report.GetPausing()) == 0
		sequence++
		report.Entry, report.Start, report.Sequence = h.options.Name, start, sequence
		encoded, err := proto.Marshal(report)
		if err != nil {
			klog.ErrorS(err, "load report not encoded")
			continue
		}
		lastSize = len(encoded)
		for _, peer := range *h.peers.Load() {
			if _, err := h.loadReportConn.WriteToUDP(encoded, peer); err != nil {
				klog.V(1).InfoS("load report not sent", "peer", peer.String(), "err", err)
			}
		}
	}
}

// receiveLoadReports receives the load reports of other hosts until the host stops and closes the socket.
func (h *Host) receiveLoadReports(ctx context.Context) {
	buffer := make([]byte, maxReportSize)
	for ctx.Err() == nil {
		n, _, err := h.loadReportConn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("load report not received", "err", err)
				monotonic.Sleep(ctx, minReportInterval)
			}
			continue
		}
		report := &schemav1.LoadReport{}
		if err := proto.Unmarshal(buffer[:n], report); err != nil {
			klog.V(1).InfoS("load report cannot be decoded", "bytes", n, "err", err)
			continue
		}
		now := h.now()
		h.dispatcher.ApplyPeerReport(now, report)
		h.dispatcher.DispatchWaiting(now)
	}
}
