package member

import (
	"context"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// sendQueue bounds batches that wait for one peer; Raft repeats what is dropped.
	sendQueue = 128
	// sendWorkers lets heartbeats pass a snapshot that is being written.
	sendWorkers = 2
	// sendTimeout is longer than any round trip and short enough to notice a silent peer.
	sendTimeout = time.Second
	// sendAge is the age at which a batch is dropped instead of sent. Raft has repeated its content by then, and a peer that
	// returns would first have to take everything that it missed.
	sendAge = 250 * time.Millisecond
)

// MethodStep is the call that carries batches.
const MethodStep = "Raft.Step"

// Transport sends Raft batches to other hosts. It never blocks: a peer that does not keep up loses batches.
type Transport struct {
	client rpc.Client
	ctx    context.Context
	tasks  *sync.WaitGroup

	mu    sync.Mutex
	peers map[string]chan queued
}

// queued is a batch that waits for its peer.
type queued struct {
	batch *schemav1.RaftBatch
	since time.Time
}

// NewTransport returns a transport whose deliveries end with ctx and are counted by tasks.
func NewTransport(ctx context.Context, client rpc.Client, tasks *sync.WaitGroup) *Transport {
	return &Transport{client: client, ctx: ctx, tasks: tasks, peers: map[string]chan queued{}}
}

// Send implements replication.Transport.
func (t *Transport) Send(address string, batch *schemav1.RaftBatch) {
	if address == "" {
		return
	}
	select {
	case t.peer(address) <- queued{batch, time.Now()}:
	default:
	}
}

func (t *Transport) peer(address string) chan queued {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.peers[address]
	if !ok {
		queue = make(chan queued, sendQueue)
		t.peers[address] = queue
		for range sendWorkers {
			t.tasks.Go(func() { t.deliver(address, queue) })
		}
	}
	return queue
}

func (t *Transport) deliver(address string, queue <-chan queued) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case next := <-queue:
			if time.Since(next.since) > sendAge {
				continue
			}
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			// Raft repeats what was lost, so a failed call needs no handling.
			_ = t.client.Call(ctx, address, MethodStep, next.batch, &schemav1.RaftBatchResponse{})
			cancel()
		}
	}
}
