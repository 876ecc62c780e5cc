package host

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

// raftTransport sends Raft batches to other hosts. It never blocks: a peer that does not keep up loses batches.
type raftTransport struct {
	client rpc.Client
	ctx    context.Context
	tasks  *sync.WaitGroup

	mu    sync.Mutex
	peers map[string]chan *schemav1.RaftBatch
}

func newRaftTransport(ctx context.Context, client rpc.Client, tasks *sync.WaitGroup) *raftTransport {
	return &raftTransport{client: client, ctx: ctx, tasks: tasks, peers: map[string]chan *schemav1.RaftBatch{}}
}

// Send implements replication.Transport.
func (t *raftTransport) Send(address string, batch *schemav1.RaftBatch) {
	if address == "" {
		return
	}
	select {
	case t.peer(address) <- batch:
	default:
	}
}

func (t *raftTransport) peer(address string) chan *schemav1.RaftBatch {
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

func (t *raftTransport) deliver(address string, queue <-chan *schemav1.RaftBatch) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case batch := <-queue:
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			// Raft repeats what was lost, so a failed call needs no handling.
			_ = t.client.Call(ctx, address, methodStep, batch, &schemav1.RaftBatchResponse{})
			cancel()
		}
	}
}
