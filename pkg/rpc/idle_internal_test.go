package rpc

import (
	"context"
	"net"
	netrpc "net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"
)

// Guards against a connection that is closed as idle before its first request and counts as a failed dial, so that the next
// call is refused during the back-off although the peer is available.
var _ = Describe("clientCodec", func() {
	It("ends the back-off when it closes an idle connection", func() {
		client, server := net.Pipe()
		defer server.Close()
		ended := 0
		var codec *clientCodec
		codec = newClientCodec(client, ClientOptions{IdleTimeout: time.Hour}.withDefaults(), func() {
			ended++
			// If the connection were closed first, a call could see that and still be refused during the back-off.
			Expect(codec.isClosed()).To(BeFalse())
		})
		codec.closeIfIdle()
		Expect(ended).To(Equal(1))
		Expect(codec.isClosed()).To(BeTrue())
	})
	// Guards against a call that loses its response because the connection is closed as idle while the body is being read.
	It("is not idle while the body of a response is being read", func() {
		client, server := net.Pipe()
		defer server.Close()
		codec := newClientCodec(client, ClientOptions{IdleTimeout: time.Hour}.withDefaults(), func() {})
		defer codec.Close()
		bodyMayArrive := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			header, err := newFrameReader(server, func() error { return nil }).header()
			Expect(err).NotTo(HaveOccurred())
			_, _ = protodelim.MarshalTo(server, header)
			<-bodyMayArrive
			_, _ = server.Write([]byte("\x04body"))
		}()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		go func() {
			defer GinkgoRecover()
			request := newClientRequest(ctx, "Test.Echo", nil)
			Expect(codec.WriteRequest(&netrpc.Request{Seq: 1}, request)).To(Succeed())
		}()
		response := &clientResponse{method: "Test.Echo"}
		Expect(codec.ReadResponseHeader(&netrpc.Response{})).To(Succeed())
		codec.closeIfIdle()
		close(bodyMayArrive)
		Expect(codec.ReadResponseBody(response)).To(Succeed())
		Expect(response.body).To(Equal([]byte("body")))
		codec.closeIfIdle()
		Expect(codec.isClosed()).To(BeTrue())
	})
})
