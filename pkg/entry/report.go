package entry

import (
	"context"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// reportEvery bounds how often load in flight is told to the other hosts of the region. Work takes 100 ms and more, so
	// that little changes in between.
	reportEvery = 15 * time.Millisecond
	// reportCost is the time between datagrams on average: 250 a second take about a fiftieth of a core.
	reportCost = 3 * time.Millisecond
	// regionPeers is the number of hosts of a region above which only those of the own data centre are told.
	regionPeers = 12
	// reportRepeat makes up for lost datagrams while nothing changes.
	reportRepeat = 400 * time.Millisecond
	// maxReport is the largest datagram.
	maxReport = 4 << 10
)

// setPeers sets the hosts of the region that get load reports.
func (h *Host) setPeers(entries []*schemav1.EntryHost) {
	var near []*schemav1.EntryHost
	for _, entry := range entries {
		if entry.GetName() != h.options.Name && h.options.Regions[entry.GetDataCentre()] == h.options.Region {
			near = append(near, entry)
		}
	}
	if len(near) > regionPeers {
		near = slices.DeleteFunc(near, func(e *schemav1.EntryHost) bool { return e.GetDataCentre() != h.options.DataCentre })
	}
	var peers []*net.UDPAddr
	for _, entry := range near {
		address, err := net.ResolveUDPAddr("udp", entry.GetLoadAddress())
		if err != nil {
			klog.ErrorS(err, "load address cannot be used", "entry", entry.GetName(), "address", entry.GetLoadAddress())
			continue
		}
		peers = append(peers, address)
	}
	h.peers.Store(&peers)
}

// tell reports load in flight until ctx ends.
func (h *Host) tell(ctx context.Context) {
	start, sequence := uint64(time.Now().UnixNano()), uint64(0)
	repeated := time.Duration(0)
	idle := false
	for {
		pause(ctx, max(reportEvery, time.Duration(len(*h.peers.Load()))*reportCost))
		if ctx.Err() != nil {
			return
		}
		now := h.now()
		report, changed := h.core.InFlightReport()
		due := now-repeated > reportRepeat
		if !changed && (!due || idle) {
			select {
			case <-ctx.Done():
				return
			case <-h.loadChanged:
			case <-time.After(reportRepeat):
			}
			h.core.ExpirePeers(now)
			continue
		}
		repeated, idle = now, len(report.GetTargets()) == 0
		sequence++
		report.Entry, report.Start, report.Sequence = h.options.Name, start, sequence
		encoded, err := proto.Marshal(report)
		if err != nil {
			klog.ErrorS(err, "load report not encoded")
			continue
		}
		for _, peer := range *h.peers.Load() {
			if _, err := h.datagrams.WriteToUDP(encoded, peer); err != nil {
				klog.V(1).InfoS("load report not sent", "peer", peer.String(), "err", err)
			}
		}
	}
}

// listen takes the load reports of other hosts until the socket is closed.
func (h *Host) listen(ctx context.Context) {
	buffer := make([]byte, maxReport)
	for ctx.Err() == nil {
		n, _, err := h.datagrams.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("load report not received", "err", err)
				pause(ctx, reportEvery)
			}
			continue
		}
		report := &schemav1.LoadReport{}
		if err := proto.Unmarshal(buffer[:n], report); err != nil {
			klog.V(1).InfoS("load report cannot be decoded", "bytes", n, "err", err)
			continue
		}
		now := h.now()
		h.core.ApplyPeerReport(now, report)
		h.core.DispatchWaiting(now)
	}
}
