package target_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"almondrock.example/almondrock/pkg/target"
)

// Guards against a shard with two owners: a revocation counts as accepted by a second copy of the answer to an earlier grant.
var _ = It("I1: a second copy of the answer to a grant does not end the shard at its target", func() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	var grants, revocations atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				answer := ""
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					const body = `{"bootId":"b","clockMs":1,"held":1}`
					switch {
					case r.URL.Path == target.GrantPath:
						grants.Add(1)
						answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID), len(body), body)
					case answer != "":
						// The revocation itself gets no answer: the target is still at work for the shard.
						revocations.Add(1)
					default:
						continue
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	r := newRig(nil)
	r.record = proto.CloneOf(r.record)
	r.record.Announcement.Address = listener.Addr().String()
	r.sync(shardRecord(7, owned, 5))
	r.begin(routedKey(7, 1, 5)).End()
	Expect(grants.Load()).NotTo(BeZero())
	r.sync(shardRecord(7, moving, 5))
	Eventually(revocations.Load).ShouldNot(BeZero())
	Consistently(r.releaseCount, 300*time.Millisecond).Should(BeZero())
})

// Guards against a request that counts as possibly run, because it was given a connection that this host had closed just before.
var _ = It("I7: a request after a discarded response is sent over another connection", func() {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	DeferCleanup(server.Close)
	pool := target.NewPool(target.PoolOptions{MaxIdle: 4})
	DeferCleanup(pool.Close)
	for range 1000 {
		request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		exchange, err := pool.Send(request, nil)
		Expect(err).NotTo(HaveOccurred())
		exchange.Discard()
	}
})

// Guards against an answer whose status is no status, such as 000 of a target in trouble, that counts as one of a target or of another host.
var _ = DescribeTable("I6: a response whose status no final response has is an error, after which the request may have run",
	func(answer string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			connection, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer connection.Close()
			_, _ = io.WriteString(connection, "HTTP/1.1 "+answer+"\r\nContent-Length: 2\r\n\r\nok")
		}))
		DeferCleanup(server.Close)
		pool := target.NewPool(target.PoolOptions{MaxIdle: 4})
		DeferCleanup(pool.Close)
		request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
		Expect(err).NotTo(HaveOccurred())
		_, err = pool.Send(request, nil)
		var failed *target.SendError
		Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
		Expect(failed.WriteStarted).To(BeTrue())
	},
	Entry(nil, "000 None"), Entry(nil, "099 Low"), Entry(nil, "101 Switching Protocols"), Entry(nil, "600 High"), Entry(nil, "999 High"),
	Entry("interim with content", "103 Early Hints\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK"),
	Entry("interim without end", strings.Repeat("103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 ", 1<<13)+"200 OK"),
)
