package entry

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/internal/monotonic"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxSlotDatagram is the size of the largest datagram in bytes, which fits a packet on all usual links.
	maxSlotDatagram = 1200
	// slotBatchDelay is how long a part waits for others to the same host.
	slotBatchDelay = time.Millisecond
	// releaseRepeatDelay is the time after which a release is repeated if there is no other datagram to the host.
	releaseRepeatDelay = 100 * time.Millisecond
	// queuedDelay is the time after which a host is told that its ask waits. Most waits are shorter, and it repeats the ask only after 40 ms.
	queuedDelay = 25 * time.Millisecond
	// maxSlotOutboxes bounds the hosts to which datagrams are pending. It exceeds the hosts of any deployment; more are due to datagrams
	// with forged addresses.
	maxSlotOutboxes = 2048
	// slotPartOverhead is the size in bytes of the tag and the length of a part, and slotHeaderSize that of the other fields of a datagram.
	slotPartOverhead, slotHeaderSize = 4, 9
)

// slotOrigin identifies the host that asks: by its address, which is not valid if it is this host, and by the random number of its process.
type slotOrigin struct {
	address netip.AddrPort
	asker   uint64
}

// slotPart is a part of a datagram.
type slotPart struct {
	message proto.Message
	// repeated is set for a release that is sent for the second time.
	repeated bool
}

// slotOutbox has the parts that are to be sent to a host.
type slotOutbox struct {
	urgent []slotPart
	// lazy parts are sent with the next datagram, or at the latest at due.
	lazy []slotPart
	// size is an upper bound of the size of the datagram with the urgent parts.
	size  int
	due   time.Duration
	timer *time.Timer
}

// slotTransport sends and receives datagrams. Parts to the same host share datagrams. It is safe for concurrent use.
type slotTransport struct {
	now     func() time.Duration
	metrics *slotMetrics
	handle  func(from netip.AddrPort, datagram *schemav1.SlotDatagram)
	conn    *net.UDPConn

	mu sync.Mutex
	// outboxes has an entry for each destination to which parts are pending. The key has the asker of the parts, the own one for asks
	// and releases.
	outboxes map[slotOrigin]*slotOutbox
	closed   bool
}

func newSlotTransport(now func() time.Duration, m *slotMetrics, handle func(netip.AddrPort, *schemav1.SlotDatagram)) *slotTransport {
	return &slotTransport{now: now, metrics: m, handle: handle, outboxes: map[slotOrigin]*slotOutbox{}}
}

// send sends a part within slotBatchDelay. A release is repeated later.
func (t *slotTransport) send(to slotOrigin, message proto.Message) {
	t.mu.Lock()
	o := t.outbox(to)
	if o == nil {
		t.mu.Unlock()
		return
	}
	switch m := message.(type) {
	case *schemav1.SlotTurn:
		o.dropQueued(m.GetSequence())
	case *schemav1.SlotRefusal:
		o.dropQueued(m.GetSequence())
	}
	o.urgent = append(o.urgent, slotPart{message: message})
	o.size += proto.Size(message) + slotPartOverhead
	if o.size >= maxSlotDatagram {
		datagrams := t.take(to, o)
		t.mu.Unlock()
		t.write(to.address, datagrams)
		return
	}
	t.arm(to, o, t.now()+slotBatchDelay)
	t.mu.Unlock()
}

// sendLater sends a part with the next datagram to the host, or after delay.
func (t *slotTransport) sendLater(to slotOrigin, message proto.Message, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.outbox(to); o != nil {
		o.lazy = append(o.lazy, slotPart{message: message})
		t.arm(to, o, t.now()+delay)
	}
}

// outbox returns the outbox of a destination, or nil if the transport is closed or there are too many.
func (t *slotTransport) outbox(to slotOrigin) *slotOutbox {
	o := t.outboxes[to]
	if o == nil && !t.closed && len(t.outboxes) < maxSlotOutboxes {
		o = &slotOutbox{}
		t.outboxes[to] = o
	}
	return o
}

// dropQueued drops the message that an ask waits, because it has been decided on.
func (o *slotOutbox) dropQueued(sequence uint64) {
	o.lazy = slices.DeleteFunc(o.lazy, func(p slotPart) bool {
		queued, ok := p.message.(*schemav1.SlotQueued)
		return ok && queued.GetSequence() == sequence
	})
}

// arm ensures that the outbox is flushed at a time or before.
func (t *slotTransport) arm(to slotOrigin, o *slotOutbox, at time.Duration) {
	switch {
	case o.timer == nil:
		o.due = at
		o.timer = time.AfterFunc(at-t.now(), func() { guard.Do("send slot datagram", func() { t.flush(to, o) }) })
	case o.due == 0 || at < o.due:
		o.due = at
		o.timer.Reset(at - t.now())
	}
}

// flush sends the parts of an outbox.
func (t *slotTransport) flush(to slotOrigin, o *slotOutbox) {
	t.mu.Lock()
	if t.closed || t.outboxes[to] != o || t.now() < o.due {
		// A timer that was reset may have fired before. One that fires early is due again at once.
		if t.outboxes[to] == o && !t.closed && o.due != 0 {
			o.timer.Reset(max(o.due-t.now(), time.Millisecond/10))
		}
		t.mu.Unlock()
		return
	}
	datagrams := t.take(to, o)
	t.mu.Unlock()
	t.write(to.address, datagrams)
}

// take removes and encodes the parts of an outbox, and keeps the releases that are to be repeated.
func (t *slotTransport) take(to slotOrigin, o *slotOutbox) [][]byte {
	parts := slices.Concat(o.urgent, o.lazy)
	o.urgent, o.lazy, o.size, o.due = nil, nil, slotHeaderSize, 0
	for _, part := range parts {
		if release, ok := part.message.(*schemav1.SlotRelease); ok && !part.repeated {
			o.lazy = append(o.lazy, slotPart{message: release, repeated: true})
		}
	}
	if len(o.lazy) > 0 {
		t.arm(to, o, t.now()+releaseRepeatDelay)
	} else {
		if o.timer != nil {
			o.timer.Stop()
		}
		delete(t.outboxes, to)
	}
	return packSlotParts(to.asker, parts)
}

// packSlotParts encodes parts as datagrams.
func packSlotParts(asker uint64, parts []slotPart) [][]byte {
	var encoded [][]byte
	datagram, size := &schemav1.SlotDatagram{Asker: asker}, slotHeaderSize
	finish := func() {
		if size == slotHeaderSize {
			return
		}
		bytes, err := proto.Marshal(datagram)
		if err != nil {
			klog.ErrorS(err, "slot datagram not encoded")
		} else {
			encoded = append(encoded, bytes)
		}
		datagram, size = &schemav1.SlotDatagram{Asker: asker}, slotHeaderSize
	}
	for _, part := range parts {
		partSize := proto.Size(part.message) + slotPartOverhead
		if size+partSize > maxSlotDatagram {
			finish()
		}
		size += partSize
		switch m := part.message.(type) {
		case *schemav1.SlotAsk:
			datagram.Asks = append(datagram.Asks, m)
		case *schemav1.SlotRelease:
			datagram.Releases = append(datagram.Releases, m)
		case *schemav1.SlotTurn:
			datagram.Turns = append(datagram.Turns, m)
		case *schemav1.SlotRefusal:
			datagram.Refusals = append(datagram.Refusals, m)
		case *schemav1.SlotQueued:
			datagram.Queued = append(datagram.Queued, m)
		}
	}
	finish()
	return encoded
}

func (t *slotTransport) write(to netip.AddrPort, datagrams [][]byte) {
	if t.conn == nil {
		// The host has not been started.
		return
	}
	for _, datagram := range datagrams {
		t.metrics.sent.Inc(int64(len(datagram) + datagramOverhead))
		if _, err := t.conn.WriteToUDPAddrPort(datagram, to); err != nil {
			klog.V(1).InfoS("slot datagram not sent", "to", to, "err", err)
		}
	}
}

// receiveAll receives datagrams until ctx ends and the socket is closed.
func (t *slotTransport) receiveAll(ctx context.Context) {
	buffer := make([]byte, 2*maxSlotDatagram)
	for ctx.Err() == nil {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("slot datagram not received", "err", err)
				monotonic.Sleep(ctx, slotBatchDelay)
			}
			continue
		}
		t.metrics.received.Inc(int64(n + datagramOverhead))
		datagram := &schemav1.SlotDatagram{}
		if err := proto.Unmarshal(buffer[:n], datagram); err != nil {
			t.metrics.undecodable.Inc(1)
			klog.V(1).InfoS("slot datagram cannot be decoded", "from", from, "bytes", n, "err", err)
			continue
		}
		guard.Do("slot datagram", func() { t.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), datagram) })
	}
}

// close sends what is pending and closes the socket.
func (t *slotTransport) close() {
	t.mu.Lock()
	t.closed = true
	pending := t.outboxes
	t.outboxes = map[slotOrigin]*slotOutbox{}
	t.mu.Unlock()
	for to, o := range pending {
		if o.timer != nil {
			o.timer.Stop()
		}
		t.write(to.address, packSlotParts(to.asker, slices.Concat(o.urgent, o.lazy)))
	}
	if t.conn != nil {
		t.conn.Close()
	}
}
