package rpc

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A connection that went idle before its first request counted as a failed dial, so that the next call was refused
// during the back-off although the peer was well.
var _ = Describe("clientCodec", func() {
	It("ends the back-off when it closes an idle connection", func() {
		client, server := net.Pipe()
		defer server.Close()
		ended := 0
		var codec *clientCodec
		codec = newClientCodec(client, ClientOptions{IdleTimeout: time.Hour}.withDefaults(), func() {
			ended++
			// A call that saw the connection closed earlier would still meet the back-off.
			Expect(codec.isClosed()).To(BeFalse())
		})
		codec.closeIfIdle()
		Expect(ended).To(Equal(1))
		Expect(codec.isClosed()).To(BeTrue())
	})
})
