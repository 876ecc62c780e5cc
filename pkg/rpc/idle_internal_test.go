package rpc

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
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

	// Guards against a call that is lost because its connection is closed as idle while its response is still being read.
	It("is not idle until a response has been read to its end", func() {
		client, server := net.Pipe()
		defer server.Close()
		codec := newClientCodec(client, ClientOptions{IdleTimeout: time.Hour}.withDefaults(), func() {})
		Expect(codec.beginRequest(1, "Test.Echo")).To(BeTrue())
		codec.closeIfIdle()
		Expect(codec.isClosed()).To(BeFalse())
		Expect(codec.endRequest(&schemav1.RpcHeader{Sequence: 1, ServiceMethod: "Test.Echo"})).To(Succeed())
		codec.closeIfIdle()
		Expect(codec.isClosed()).To(BeFalse())
		codec.endBody()
		codec.closeIfIdle()
		Expect(codec.isClosed()).To(BeTrue())
	})
})
