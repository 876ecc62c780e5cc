package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// FuzzResponse checks that whatever a target sends, a response is only returned for the request that was sent, within bounds of time and
// memory, and that no connection with unread bytes is used again.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(responseText("1", "ok")))
	f.Add([]byte(responseText("0", "stale") + responseText("1", "ok")))
	f.Add([]byte(responseText("1", "ok") + responseText("1", "second copy")))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + responseText("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 90000000000\r\n\r\n"))
	f.Add([]byte("\x00\xff no response"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r"))
	f.Add([]byte("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" + responseText("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nKeep-Alive: timeout=1e300\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		const limit = 1 << 10
		c := New(Options{IDHeader: "Request-Id", Dial: func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, there) }()
			go func() {
				_, _ = there.Write(sent)
				there.Close()
			}()
			return here, nil
		}})
		request := newRequest("target", "1")
		request.Deadline = time.Now().Add(5 * time.Second)
		began := time.Now()
		response, err := c.Send(context.Background(), request)
		if time.Since(began) > 2*time.Second {
			t.Fatal("the end of the connection was not noticed")
		}
		if err != nil {
			return
		}
		if id := response.Header.Get("Request-Id"); id != "1" {
			t.Fatalf("response to request %q", id)
		}
		if !bytes.Contains(sent, []byte("\n\n")) && !bytes.Contains(sent, []byte("\n\r\n")) {
			t.Fatal("a response whose head has no end")
		}
		body, complete, err := response.ReadAll(limit)
		switch {
		case len(body) > limit+1:
			t.Fatalf("read %d bytes", len(body))
		case err != nil || !complete:
			response.Abort()
		default:
			response.Finish()
		}
		if cn := c.takeIdle(request.PoolKey, "2"); cn != nil && cn.reader.Buffered() > 0 {
			t.Fatal("a connection with unread bytes is used again")
		}
	})
}
