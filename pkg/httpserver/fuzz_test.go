package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondrock.example/almondrock/pkg/guard"
)

// FuzzRequests checks that whatever a caller sends, the connection ends without a panic, each response is whole and in the order of the
// requests, and the server goes on serving others.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(get("/a") + get("/b")))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/b")))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/b")))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET /a HTTP/1.0\r\n\r\n" + get("/b")))
	f.Add([]byte(get("/a") + "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/c")))
	f.Add([]byte(get("/a") + "\x00\xff no request\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nab"))
	var panics atomic.Int64
	guard.OnPanic(func(string) { panics.Add(1) })
	s := New(Options{
		Handler: &testHandler{release: make(chan struct{})}, MaxHeaderBytes: 4 << 10, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: time.Second,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	f.Cleanup(func() { _ = s.Close() })
	f.Fuzz(func(t *testing.T, sent []byte) {
		for _, excluded := range []string{"/panic/", "/slow/", "HEAD"} {
			if strings.Contains(string(sent), excluded) {
				t.Skip("the handler panics or waits on purpose, or responses have no bodies")
			}
		}
		before := panics.Load()
		for _, bytes := range [][]byte{sent, []byte(get("/after"))} {
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if err := connection.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = connection.Write(bytes)
				_ = connection.(*net.TCPConn).CloseWrite()
			}()
			readResponses(t, connection)
			connection.Close()
		}
		if panics.Load() > before {
			t.Fatal("a connection panicked")
		}
	})
}

// readResponses reads the responses on a connection to its end and checks that each is whole.
func readResponses(t *testing.T, connection net.Conn) {
	reader := bufio.NewReader(connection)
	for {
		if _, err := reader.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("the connection does not end")
			}
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatalf("incomplete response: %v", err)
		}
		response.Body.Close()
	}
}
