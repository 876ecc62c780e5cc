package rpc

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
})
