package rpc_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

// stepTimeout limits every blocking step of the tests. No check depends on how much of it is used.
const stepTimeout = 10 * time.Second

// startServer starts a server with three methods: "Test.Echo" returns an entry with the generation of the request as its index
// and the group as its data, "Test.Wait" blocks until its context ends, and "Test.Fail" returns failure. startServer returns
// the server and its address.
func startServer(options rpc.ServerOptions, failure error) (*rpc.Server, string) {
	server := rpc.NewServer(options)
	rpc.Register(server, "Test.Echo", func(_ context.Context, in *schemav1.RaftBatch) (*schemav1.Entry, error) {
		return &schemav1.Entry{Index: in.Generation, Data: []byte(in.Group)}, nil
	})
	rpc.Register(server, "Test.Wait", func(ctx context.Context, _ *schemav1.RaftBatch) (*schemav1.Entry, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	rpc.Register(server, "Test.Panic", func(context.Context, *schemav1.RaftBatch) (*schemav1.Entry, error) {
		panic("unexpected state")
	})
	rpc.Register(server, "Test.Fail", func(context.Context, *schemav1.RaftBatch) (*schemav1.Entry, error) {
		return nil, failure
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return server, listener.Addr().String()
}

func newClient(options rpc.ClientOptions) rpc.Client {
	client := rpc.NewClient(options)
	DeferCleanup(client.Close)
	return client
}

func call(client rpc.Client, address, method string, generation uint64) (*schemav1.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	response := &schemav1.Entry{}
	return response, client.Call(ctx, address, method, &schemav1.RaftBatch{Generation: generation, Group: "g"}, response)
}

var _ = Describe("Client and Server", func() {
	// Guards against a response that reaches another caller when many calls share the connections.
	It("gives each concurrent caller its own response", func() {
		_, address := startServer(rpc.ServerOptions{MaxConcurrentRequests: 3}, nil)
		client := newClient(rpc.ClientOptions{})
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() {
				defer GinkgoRecover()
				response, err := call(client, address, "Test.Echo", uint64(i))
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Index).To(Equal(uint64(i)))
			})
		}
		group.Wait()
	})

	// Guards against one unexpected error in a handler that ends the host.
	It("returns an error to the caller of a handler that panics, and handles further calls", func() {
		_, address := startServer(rpc.ServerOptions{}, nil)
		client := newClient(rpc.ClientOptions{})
		_, err := call(client, address, "Test.Panic", 1)
		var remote *rpc.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
		Expect(remote.Code).To(Equal(rpc.CodeInternal))
		_, err = call(client, address, "Test.Echo", 2)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a frame that is truncated at the chunk size.
	It("transfers messages larger than a chunk", func() {
		_, address := startServer(rpc.ServerOptions{}, nil)
		request := &schemav1.RaftBatch{Group: string(make([]byte, 3<<20))}
		response := &schemav1.Entry{}
		client := newClient(rpc.ClientOptions{CallTimeout: stepTimeout})
		Expect(client.Call(context.Background(), address, "Test.Echo", request, response)).To(Succeed())
		Expect(response.Data).To(HaveLen(3 << 20))
	})

	DescribeTable("returns the code of a handler's error to the caller",
		func(failure error, want rpc.RemoteError) {
			_, address := startServer(rpc.ServerOptions{}, failure)
			_, err := call(newClient(rpc.ClientOptions{}), address, "Test.Fail", 1)
			var remote *rpc.RemoteError
			Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
			Expect(*remote).To(Equal(want))
		},
		Entry("own code", rpc.NewError("sealed", "generation %d", 3), rpc.RemoteError{Code: "sealed", Message: "generation 3"}),
		Entry("refusal", apierr.New(apierr.NoOwner, "shard 4"), rpc.RemoteError{Code: "no-owner", Message: "shard 4"}),
		Entry("deadline", context.DeadlineExceeded, rpc.RemoteError{Code: rpc.CodeDeadline, Message: "context deadline exceeded"}),
		Entry("other", net.ErrClosed, rpc.RemoteError{Code: rpc.CodeInternal, Message: net.ErrClosed.Error()}),
	)

	It("refuses an unknown method and keeps the connection open", func() {
		_, address := startServer(rpc.ServerOptions{}, nil)
		client := newClient(rpc.ClientOptions{MaxConnections: 1})
		_, err := call(client, address, "Test.Absent", 1)
		var remote *rpc.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
		Expect(remote.Code).To(Equal(rpc.CodeUnknownMethod))
		_, err = call(client, address, "Test.Echo", 1)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against handlers that continue to run after their caller has stopped waiting.
	It("gives the handler the caller's deadline", func() {
		server, address := startServer(rpc.ServerOptions{CallTimeout: time.Hour}, nil)
		left := make(chan time.Duration, 1)
		rpc.Register(server, "Test.Left", func(ctx context.Context, _ *schemav1.Entry) (*schemav1.Entry, error) {
			deadline, _ := ctx.Deadline()
			left <- time.Until(deadline)
			return &schemav1.Entry{}, nil
		})
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		Expect(newClient(rpc.ClientOptions{}).Call(ctx, address, "Test.Left", &schemav1.Entry{}, &schemav1.Entry{})).To(Succeed())
		Expect(<-left).To(BeNumerically("<=", stepTimeout))
	})

	It("times out if the handler does not return", func() {
		_, address := startServer(rpc.ServerOptions{}, nil)
		client := newClient(rpc.ClientOptions{CallTimeout: time.Millisecond})
		err := client.Call(context.Background(), address, "Test.Wait", &schemav1.RaftBatch{}, &schemav1.Entry{})
		// The handler's context may end first, and its response may arrive before the client's deadline.
		var timeout *rpc.TimeoutError
		var remote *rpc.RemoteError
		Expect(errors.As(err, &timeout) || errors.As(err, &remote) && remote.Code == rpc.CodeDeadline).To(BeTrue(), "%v", err)
	})

	// Guards against losing the responses to running requests at a planned shutdown (I10).
	It("responds to running requests during Shutdown and refuses later ones", func() {
		server, address := startServer(rpc.ServerOptions{}, nil)
		started, finish := make(chan struct{}), make(chan struct{})
		rpc.Register(server, "Test.Held", func(context.Context, *schemav1.RaftBatch) (*schemav1.Entry, error) {
			close(started)
			<-finish
			return &schemav1.Entry{Index: 7}, nil
		})
		client := newClient(rpc.ClientOptions{})
		result := make(chan error, 1)
		go func() {
			_, err := call(client, address, "Test.Held", 1)
			result <- err
		}()
		Eventually(started, stepTimeout).Should(BeClosed())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(context.Background()) }()
		Consistently(stopped, 50*time.Millisecond).ShouldNot(Receive())
		close(finish)
		Eventually(result, stepTimeout).Should(Receive(BeNil()))
		Eventually(stopped, stepTimeout).Should(Receive(BeNil()))
		_, err := call(client, address, "Test.Echo", 1)
		var unavailable *rpc.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
	})

	// Guards against a dial for each call to a failed host. The back-off starts at the first failed dial.
	It("fails at once during the back-off and dials after it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		listener.Close()
		var mu sync.Mutex
		now := time.Unix(0, 0)
		client := newClient(rpc.ClientOptions{Now: func() time.Time { mu.Lock(); defer mu.Unlock(); return now }})
		refusal := func() *rpc.UnavailableError {
			_, err := call(client, address, "Test.Echo", 1)
			var unavailable *rpc.UnavailableError
			Expect(errors.As(err, &unavailable)).To(BeTrue(), "%v", err)
			return unavailable
		}
		Expect(refusal().RetryAfter).To(BeNumerically(">=", rpc.DefaultBackoffMin/2))
		listener, err = net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		server := rpc.NewServer(rpc.ServerOptions{})
		rpc.Register(server, "Test.Echo", func(context.Context, *schemav1.RaftBatch) (*schemav1.Entry, error) {
			return &schemav1.Entry{}, nil
		})
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		Expect(refusal().RetryAfter).To(BeNumerically(">", 0))
		mu.Lock()
		now = now.Add(time.Second)
		mu.Unlock()
		_, err = call(client, address, "Test.Echo", 1)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a failed call if its pooled connection is closed as idle at the time of the call.
	It("replaces idle connections", func() {
		_, address := startServer(rpc.ServerOptions{}, nil)
		client := newClient(rpc.ClientOptions{IdleTimeout: time.Millisecond})
		for i := range 100 {
			_, err := call(client, address, "Test.Echo", uint64(i))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Duration(i) * 20 * time.Microsecond)
		}
	})
})

func BenchmarkCall(b *testing.B) {
	server := rpc.NewServer(rpc.ServerOptions{})
	rpc.Register(server, "Test.Echo", func(_ context.Context, in *schemav1.Entry) (*schemav1.Entry, error) { return in, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := rpc.NewClient(rpc.ClientOptions{})
	defer client.Close()
	for _, size := range []int{128, 64 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			request := &schemav1.Entry{Data: make([]byte, size)}
			b.SetBytes(int64(2 * proto.Size(request)))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := client.Call(context.Background(), listener.Addr().String(), "Test.Echo", request, &schemav1.Entry{}); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
