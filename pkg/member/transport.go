package member

import (
	"context"
	"sync"
	"time"

	"almondrock.example/almondrock/pkg/guard"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxQueuedBatches limits the batches that wait for one peer. Further batches are dropped; Raft sends their content again.
	maxQueuedBatches = 128
	// workersPerPeer is the number of concurrent calls to one peer. With more than one, heartbeats can overtake a snapshot that
	// is being sent.
	workersPerPeer = 2
	// sendTimeout is longer than any round trip, and short enough to give up soon on a peer that does not respond.
	sendTimeout = time.Second
	// maxBatchAge is the age above which a batch is dropped instead of sent. Raft has sent its content again by then, and a
	// peer that becomes reachable again would otherwise have to receive everything it missed first.
	maxBatchAge = 250 * time.Millisecond
)

// MethodStep is the name of the RPC method that carries Raft batches.
const MethodStep = "Raft.Step"

// Transport sends Raft batches to the members on other hosts. Send never blocks: batches to a peer that does not keep up
// are dropped.
type Transport struct {
	client rpc.Client
	ctx    context.Context
	tasks  *sync.WaitGroup

	mu     sync.Mutex
	queues map[string]chan queuedBatch
}

// queuedBatch is a batch that waits to be sent.
type queuedBatch struct {
	batch    *schemav1.RaftBatch
	queuedAt time.Time
}

// NewTransport returns a transport that sends with client. Its goroutines end when ctx is done and are counted in tasks.
func NewTransport(ctx context.Context, client rpc.Client, tasks *sync.WaitGroup) *Transport {
	return &Transport{client: client, ctx: ctx, tasks: tasks, queues: map[string]chan queuedBatch{}}
}

// Send implements replication.Transport.
func (t *Transport) Send(address string, batch *schemav1.RaftBatch) {
	if address == "" {
		return
	}
	select {
	case t.queueFor(address) <- queuedBatch{batch, time.Now()}:
	default:
	}
}

// queueFor returns the queue of the peer at address. For a new peer it starts the workers that send from the queue.
func (t *Transport) queueFor(address string) chan queuedBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[address]
	if !ok {
		queue = make(chan queuedBatch, maxQueuedBatches)
		t.queues[address] = queue
		for range workersPerPeer {
			t.tasks.Go(func() { guard.Loop(t.ctx, "send Raft messages", func() { t.deliver(address, queue) }) })
		}
	}
	return queue
}

// deliver sends the batches of a queue to the peer at address.
func (t *Transport) deliver(address string, queue <-chan queuedBatch) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case next := <-queue:
			if time.Since(next.queuedAt) > maxBatchAge {
				continue
			}
			ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
			// Raft sends lost content again, so a failed call needs no handling.
			_ = t.client.Call(ctx, address, MethodStep, next.batch, &schemav1.RaftBatchResponse{})
			cancel()
		}
	}
}
