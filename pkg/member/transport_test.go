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

// slowClient holds each call until it is released.
type slowClient struct {
	mu      sync.Mutex
	calls   int
	release chan struct{}
}

func (c *slowClient) Call(context.Context, string, string, proto.Message, proto.Message) error {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	<-c.release
	return nil
}

func (c *slowClient) Close() error { return nil }

var _ = Describe("Transport", func() {
	It("drops batches that waited long for a frozen peer, so that its return does not begin with everything it missed", func() {
		client := &slowClient{release: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var tasks sync.WaitGroup
		transport := NewTransport(ctx, client, &tasks)
		for range sendWorkers + 50 {
			transport.Send("peer", &schemav1.RaftBatch{})
		}
		time.Sleep(sendAge + 50*time.Millisecond)
		close(client.release)
		Eventually(func() int { return len(transport.peer("peer")) }).Should(BeZero())
		Consistently(func() int {
			client.mu.Lock()
			defer client.mu.Unlock()
			return client.calls
		}, "100ms").Should(Equal(sendWorkers))
		cancel()
		tasks.Wait()
	})
})
