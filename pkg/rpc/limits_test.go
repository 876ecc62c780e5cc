package rpc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

var _ = Describe("Server limits", func() {
	// Guards against a caller that starts more handlers than the bound.
	It("run at most MaxConcurrent requests of a connection at once", func() {
		server, address := serve(rpc.ServerOptions{MaxConcurrentRequests: 2}, nil)
		var running, most atomic.Int64
		rpc.Register(server, "Test.Count", func(context.Context, *schemav1.RaftBatch) (*schemav1.Entry, error) {
			now := running.Add(1)
			defer running.Add(-1)
			for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
			}
			time.Sleep(time.Millisecond)
			return &schemav1.Entry{}, nil
		})
		client := newClient(rpc.ClientOptions{MaxConnections: 1})
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				defer GinkgoRecover()
				_, err := call(client, address, "Test.Count", 1)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		Expect(most.Load()).To(BeNumerically("<=", 2))
	})

	It("close connections above MaxConnections", func() {
		_, address := serve(rpc.ServerOptions{MaxConnections: 1}, nil)
		_, err := call(newClient(rpc.ClientOptions{}), address, "Test.Echo", 1)
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetReadDeadline(time.Now().Add(wait))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(errors.Is(err, io.EOF)).To(BeTrue(), "%v", err)
	})

	// Guards against a peer that never reads and so holds the answers of all its requests forever.
	It("end a connection whose peer does not read, with the contexts of its handlers", func() {
		server, address := serve(rpc.ServerOptions{StallTimeout: 50 * time.Millisecond}, nil)
		rpc.Register(server, "Test.Large", func(context.Context, *schemav1.RaftBatch) (*schemav1.Entry, error) {
			return &schemav1.Entry{Data: make([]byte, 60<<20)}, nil // more than socket buffers take
		})
		ended := make(chan error, 1)
		rpc.Register(server, "Test.Observe", func(ctx context.Context, _ *schemav1.RaftBatch) (*schemav1.Entry, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return &schemav1.Entry{}, nil
		})
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		for i, method := range []string{"Test.Observe", "Test.Large"} {
			header := &schemav1.RpcHeader{ServiceMethod: method, Sequence: uint64(i), DeadlineMs: 600_000}
			_, err = protodelim.MarshalTo(conn, header)
			Expect(err).NotTo(HaveOccurred())
			_, err = protodelim.MarshalTo(conn, &schemav1.RaftBatch{})
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(ended, wait).Should(Receive(MatchError(context.Canceled)))
	})
})
