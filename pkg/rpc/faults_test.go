package rpc_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

// fakeServer accepts connections on loopback and calls handle for each, which reads requests with next and sends any
// responses. It returns the address.
func fakeServer(handle func(conn net.Conn, next func() *schemav1.RpcHeader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				handle(conn, func() *schemav1.RpcHeader {
					header := &schemav1.RpcHeader{}
					_ = protodelim.UnmarshalFrom(reader, header)
					_ = protodelim.UnmarshalFrom(reader, &schemav1.RaftBatch{})
					return header
				})
			}()
		}
	}()
	return listener.Addr().String()
}

func respond(conn net.Conn, header *schemav1.RpcHeader, index uint64) {
	_, _ = protodelim.MarshalTo(conn, header)
	_, _ = protodelim.MarshalTo(conn, &schemav1.Entry{Index: index})
}

var _ = DescribeTable("Client against a faulty server",
	func(behave func(net.Conn, func() *schemav1.RpcHeader), want, cause any) {
		client := newClient(rpc.ClientOptions{MaxMessageSize: 1000, StallTimeout: 50 * time.Millisecond})
		_, err := call(client, fakeServer(behave), "Test.Echo", 1)
		Expect(errors.As(err, want)).To(BeTrue(), "%v", err)
		Expect(errors.As(err, cause)).To(BeTrue(), "%v", err)
	},
	Entry("closes the connection without a response", func(_ net.Conn, next func() *schemav1.RpcHeader) { next() },
		new(*rpc.ConnectionLostError), new(*rpc.ClosedError)),
	Entry("closes in the middle of a frame", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		_, _ = protodelim.MarshalTo(conn, next())
		_, _ = conn.Write([]byte{100, 1, 2})
	}, new(*rpc.ConnectionLostError), new(*rpc.FrameError)),
	Entry("sends an oversized frame", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		_, _ = protodelim.MarshalTo(conn, next())
		_, _ = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
		next()
	}, new(*rpc.ConnectionLostError), new(*rpc.SizeError)),
	Entry("sends an invalid header", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		next()
		_, _ = conn.Write([]byte{3, 0xff, 0xff, 0xff, 0})
		next()
	}, new(*rpc.ConnectionLostError), new(*rpc.FrameError)),
	Entry("responds with an unknown sequence number", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		header := next()
		header.Sequence += 5
		respond(conn, header, 1)
		next()
	}, new(*rpc.ConnectionLostError), new(*rpc.FrameError)),
	Entry("responds with another method", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		header := next()
		header.ServiceMethod = "Test.Other"
		respond(conn, header, 1)
		next()
	}, new(*rpc.ConnectionLostError), new(*rpc.FrameError)),
	Entry("stalls in the middle of a frame", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		_, _ = protodelim.MarshalTo(conn, next())
		_, _ = conn.Write([]byte{100, 1, 2})
		next()
	}, new(*rpc.ConnectionLostError), new(net.Error)),
	Entry("responds with an invalid body", func(conn net.Conn, next func() *schemav1.RpcHeader) {
		_, _ = protodelim.MarshalTo(conn, next())
		_, _ = conn.Write([]byte{2, 0xff, 0xff})
		next()
	}, new(*rpc.EncodingError), new(error)),
)

var _ = Describe("Client", func() {
	// Guards against matching responses to requests by order instead of by sequence number.
	It("matches responses that arrive in reverse order", func() {
		address := fakeServer(func(conn net.Conn, next func() *schemav1.RpcHeader) {
			first, second := next(), next()
			respond(conn, second, second.Sequence)
			respond(conn, first, first.Sequence)
			next()
		})
		client := newClient(rpc.ClientOptions{MaxConnections: 1})
		indexes := make(chan uint64, 2)
		for range 2 {
			go func() {
				defer GinkgoRecover()
				response, err := call(client, address, "Test.Echo", 1)
				Expect(err).NotTo(HaveOccurred())
				indexes <- response.Index
			}()
		}
		first, second := uint64(0), uint64(0)
		Eventually(indexes, stepTimeout).Should(Receive(&first))
		Eventually(indexes, stepTimeout).Should(Receive(&second))
		Expect([]uint64{first, second}).To(ConsistOf(uint64(0), uint64(1)))
	})

	// Guards against writes to the caller's message after the call has returned, which the race detector finds.
	It("drops a response that arrives after the call has returned", func() {
		release, sent := make(chan struct{}), make(chan struct{})
		address := fakeServer(func(conn net.Conn, next func() *schemav1.RpcHeader) {
			header := next()
			<-release
			respond(conn, header, 9)
			close(sent)
			next()
		})
		client := newClient(rpc.ClientOptions{})
		ctx, cancel := context.WithCancel(context.Background())
		response := &schemav1.Entry{}
		result := make(chan error, 1)
		go func() { result <- client.Call(ctx, address, "Test.Echo", &schemav1.RaftBatch{}, response) }()
		cancel()
		var err error
		Eventually(result, stepTimeout).Should(Receive(&err))
		var timeout *rpc.TimeoutError
		Expect(errors.As(err, &timeout)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		close(release)
		Expect(response.Index).To(BeZero())
	})

	// Guards against calls that wait for TCP's retransmission timer on a connection after a network partition has ended.
	It("closes an unresponsive connection when a call times out", func() {
		connections := make(chan struct{}, 10)
		address := fakeServer(func(_ net.Conn, next func() *schemav1.RpcHeader) {
			next()
			connections <- struct{}{}
			next()
		})
		client := newClient(rpc.ClientOptions{MaxConnections: 1, SilenceTimeout: time.Nanosecond, BackoffMax: time.Nanosecond, BackoffMin: 1})
		for range 2 {
			ctx, cancel := context.WithCancel(context.Background())
			result := make(chan error, 1)
			go func() {
				result <- client.Call(ctx, address, "Test.Echo", &schemav1.RaftBatch{}, &schemav1.Entry{})
			}()
			Eventually(connections, stepTimeout).Should(Receive())
			cancel()
			Eventually(result, stepTimeout).Should(Receive(HaveOccurred()))
		}
	})

	It("refuses a request above the limit without sending it", func() {
		_, address := startServer(rpc.ServerOptions{}, nil)
		client := newClient(rpc.ClientOptions{MaxMessageSize: 10})
		err := client.Call(context.Background(), address, "Test.Echo", &schemav1.RaftBatch{Group: "longer than ten"}, &schemav1.Entry{})
		var size *rpc.SizeError
		Expect(errors.As(err, &size)).To(BeTrue(), "%v", err)
	})

	It("refuses calls after Close, which makes running calls fail", func() {
		started := make(chan struct{})
		address := fakeServer(func(_ net.Conn, next func() *schemav1.RpcHeader) {
			next()
			close(started)
			next()
		})
		client := newClient(rpc.ClientOptions{})
		result := make(chan error, 1)
		go func() {
			_, err := call(client, address, "Test.Echo", 1)
			result <- err
		}()
		Eventually(started, stepTimeout).Should(BeClosed())
		Expect(client.Close()).To(Succeed())
		var err error
		Eventually(result, stepTimeout).Should(Receive(&err))
		Expect(errors.As(err, new(*rpc.ConnectionLostError))).To(BeTrue(), "%v", err)
		_, err = call(client, address, "Test.Echo", 1)
		Expect(errors.As(err, new(*rpc.ClosedError))).To(BeTrue(), "%v", err)
	})
})

// The server must close the connection and still serve others.
var _ = DescribeTable("Server against a faulty client",
	func(send func(conn net.Conn)) {
		_, address := startServer(rpc.ServerOptions{
			MaxMessageSize: 1000, StallTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond,
		}, nil)
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		send(conn)
		Expect(conn.SetReadDeadline(time.Now().Add(stepTimeout))).To(Succeed())
		_, err = io.Copy(io.Discard, conn)
		Expect(errors.As(err, new(net.Error)) && err.(net.Error).Timeout()).To(BeFalse(), "%v", err) //nolint:errorlint // unwrapped
		_, err = call(newClient(rpc.ClientOptions{}), address, "Test.Echo", 1)
		Expect(err).NotTo(HaveOccurred())
	},
	Entry("closes in the middle of a frame", func(conn net.Conn) {
		_, _ = conn.Write([]byte{100, 1})
		_ = conn.(*net.TCPConn).CloseWrite()
	}),
	Entry("sends an oversized header", func(conn net.Conn) { _, _ = conn.Write([]byte{0xff, 0xff, 0x7f}) }),
	Entry("sends an oversized body", func(conn net.Conn) {
		_, _ = protodelim.MarshalTo(conn, &schemav1.RpcHeader{ServiceMethod: "Test.Echo"})
		_, _ = conn.Write([]byte{0xff, 0xff, 0x7f})
	}),
	Entry("sends bytes of another protocol", func(conn net.Conn) { _, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }),
	Entry("sends a length above 64 bits", func(conn net.Conn) { _, _ = conn.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")) }),
	Entry("stalls in the middle of a frame", func(conn net.Conn) { _, _ = conn.Write([]byte{100, 1}) }),
	Entry("sends no request", func(net.Conn) {}),
	Entry("reuses the sequence number of a running request", func(conn net.Conn) {
		for range 2 {
			_, _ = protodelim.MarshalTo(conn, &schemav1.RpcHeader{ServiceMethod: "Test.Wait", Sequence: 4, DeadlineMs: 60_000})
			_, _ = protodelim.MarshalTo(conn, &schemav1.RaftBatch{})
		}
	}),
)
