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
)

// MethodStep is the call that carries batches.
const MethodStep = "Raft.Step"

// Transport sends Raft batches to other hosts. It never blocks: a peer that does not keep up loses batches.
type Transport struct {
	client rpc.Client
	ctx    context.Context
	tasks  *sync.WaitGroup

	mu    sync.Mutex
	peers map[string]chan *schemav1.RaftBatch
}

// NewTransport returns a transport whose deliveries end with ctx and are counted by tasks.
func NewTransport(ctx context.Context, client rpc.Client, tasks *sync.WaitGroup) *Transport {
	return &Transport{client: client, ctx: ctx, tasks: tasks, peers: map[string]chan *schemav1.RaftBatch{}}
}

// Send implements replication.Transport.
func (t *Transport) Send(address string, batch *schemav1.RaftBatch) {
	if address == "" {
		return
	}
	select {
	case t.peer(address) <- batch:
	default:
	}
}

func (t *Transport) peer(address string) chan *schemav1.RaftBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.peers[address]
	if !ok {
		queue = make(chan *schemav1.RaftBatch, sendQueue)
		t.peers[address] = queue
		for range sendWorkers {
			t.tasks.Go(func() { t.deliver(address, queue) })
		}
	}
	return queue
}

func (t *Transport) deliver(address string, queue <-chan *schemav1.RaftBatch) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case batch := <-queue:
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			// Raft repeats what was lost, so a failed call needs no handling.
			_ = t.client.Call(ctx, address, MethodStep, batch, &schemav1.RaftBatchResponse{})
			cancel()
		}
	}
}
