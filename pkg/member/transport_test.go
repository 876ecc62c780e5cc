package member

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// blockingClient blocks each call until release is closed.
type blockingClient struct {
	mu      sync.Mutex
	calls   int
	release chan struct{}
}

func (c *blockingClient) Call(context.Context, string, string, proto.Message, proto.Message) error {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	<-c.release
	return nil
}

func (c *blockingClient) CloseIdle() {}

func (c *blockingClient) Close() error { return nil }

var _ = Describe("Transport", func() {
	It("drops batches that waited too long for a blocked peer, so that the peer does not first receive everything it missed", func() {
		client := &blockingClient{release: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		transport := NewTransport(ctx, client, &tasks)
		for range workersPerPeer + 50 {
			transport.Send("peer", &schemav1.RaftBatch{})
		}
		time.Sleep(maxBatchAge + 50*time.Millisecond)
		close(client.release)
		Eventually(func() int { return len(transport.queueFor("peer")) }).Should(BeZero())
		Consistently(func() int {
			client.mu.Lock()
			defer client.mu.Unlock()
			return client.calls
		}, "100ms").Should(Equal(workersPerPeer))
		cancel()
		tasks.Wait()
	})
})
