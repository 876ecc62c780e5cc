package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondrock.example/almondrock/pkg/standin"
)

// BenchmarkSend measures requests over one connection, with the reading of the whole response. The response has the fields of those of the platform.
func BenchmarkSend(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 3,0,8,100\r\n" +
		"Content-Type: application/json\r\nCache-Control: no-store\r\nDate: Mon, 07 Dec 2026 18:00:00 GMT\r\nKeep-Alive: timeout=5\r\nConnection: keep-alive\r\n"
	body := strings.Repeat("b", 600)
	for _, c := range []struct {
		name, response string
		upload         int
	}{
		{"length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), 0},
		{"chunks", fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body), 0},
		{"chunks and trailer", fmt.Sprintf("%sTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nT: v\r\n\r\n", head, len(body), body), 0},
		{"upload of 64 KiB", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), 64 << 10},
	} {
		b.Run(c.name, func(b *testing.B) {
			server, err := standin.StartRaw(func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, c.response)
			})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { server.Close() })
			// A request without an ID may follow another one on the same connection.
			client := New(Options{IDHeader: "Request-Id"})
			request := &Request{PoolKey: "t", Address: server.Address(), Method: "POST", URI: "/a", Host: "h", Header: http.Header{"Request-Id": {"1"}}, Body: make([]byte, c.upload)}
			b.ReportAllocs()
			for b.Loop() {
				request.Deadline = time.Now().Add(time.Minute)
				response, err := client.Send(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				if _, _, err := response.ReadAll(1 << 20); err != nil {
					b.Fatal(err)
				}
				response.Finish()
			}
		})
	}
}
