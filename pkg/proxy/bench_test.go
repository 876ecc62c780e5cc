package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

// benchTarget answers at once, as cheaply as net/http allows, so that the figures are those of the path.
func benchTarget(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write([]byte("the answer of the target\n"))
}

// processorTime is what this process has used, in all threads.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchCallers is the number of connections of callers.
const benchCallers = 16

// measure sends b.N requests over 16 connections and reports requests/s and processor time per request. Caller, proxy and
// target share the process, so their costs are in each figure; the differences between the figures are the proxy's.
func measure(b *testing.B, address, path string) {
	transport := &http.Transport{MaxIdleConnsPerHost: benchCallers, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				request, _ := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
				request.Header.Set(target.HeaderKey, key)
				response, err := transport.RoundTrip(request)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Error(response.Status)
					return
				}
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// benchWorld has one target with many slots, so that the gate is not what is measured.
func benchWorld(b *testing.B) *world {
	cleanup = b.Cleanup
	w := newWorld()
	w.rawTarget(benchTarget)
	announcement := w.targets["raw"].GetAnnouncement()
	announcement.Slots, announcement.MaxConnections = 64, 200
	w.addHost("h0", "seoul-gangnam")
	w.addHost("h1", "seoul-gangnam")
	w.own("raw", "h1", 1)
	return w
}

func BenchmarkPath(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		server := httptest.NewServer(http.HandlerFunc(benchTarget))
		b.Cleanup(server.Close)
		measure(b, server.Listener.Addr().String(), "/a")
	})
	b.Run("reverse-proxy", func(b *testing.B) {
		server := httptest.NewServer(http.HandlerFunc(benchTarget))
		b.Cleanup(server.Close)
		link, _ := url.Parse(server.URL)
		reverse := httputil.NewSingleHostReverseProxy(link)
		reverse.Transport = &http.Transport{MaxIdleConnsPerHost: benchCallers, DisableCompression: true}
		front := httptest.NewServer(reverse)
		b.Cleanup(front.Close)
		measure(b, front.Listener.Addr().String(), "/a")
	})
	b.Run("attached", func(b *testing.B) { measure(b, benchWorld(b).hosts["h1"].address, "/desk/a") })
	b.Run("ingress+attached", func(b *testing.B) { measure(b, benchWorld(b).hosts["h0"].address, "/desk/a") })
}

// Senders of BenchmarkSenders: 12 hosts and a target with 2 slots and 2 ms of work per request, as the users have. Two
// requests of a user are in the system on average, arriving at random hosts.
const (
	senderHosts   = 12
	senderCallers = 6
	senderWork    = 2 * time.Millisecond
)

// BenchmarkSenders compares one attached sender with direct sending by every host, each with its own gate of 2 slots.
func BenchmarkSenders(b *testing.B) {
	b.Run("attached", func(b *testing.B) {
		w, server := senderWorld(b)
		addresses := []string{}
		for _, h := range w.hosts {
			addresses = append(addresses, h.address)
		}
		sendFrom(b, server, addresses, "/desk/a")
	})
	b.Run("direct", func(b *testing.B) {
		server := senderTarget(b)
		addresses := []string{}
		for range senderHosts {
			addresses = append(addresses, directSender(b, server.Address()))
		}
		sendFrom(b, server, addresses, "/a")
	})
}

func senderTarget(b *testing.B) *standin.Server {
	server, err := standin.Start(standin.Options{
		Name: "t1", Service: desk, Slots: 2, Capabilities: &schemav1.TargetCapabilities{}, Faults: standin.Faults{ServiceTime: senderWork},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close() })
	return server
}

func senderWorld(b *testing.B) (*world, *standin.Server) {
	cleanup = b.Cleanup
	w := newWorld()
	server := w.addTarget("t1", standin.Options{
		Slots: 2, Capabilities: &schemav1.TargetCapabilities{}, Faults: standin.Faults{ServiceTime: senderWork},
	})
	for i := range senderHosts {
		w.addHost("h"+string(rune('a'+i)), "seoul-gangnam")
	}
	w.own("t1", "ha", 1)
	return w, server
}

// directSender is a host that sends to the target by itself and keeps to 2 requests at once, as far as it knows.
func directSender(b *testing.B, address string) string {
	link := &url.URL{Scheme: "http", Host: address}
	reverse := httputil.NewSingleHostReverseProxy(link)
	reverse.Transport = &http.Transport{MaxIdleConnsPerHost: 2}
	slots := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slots <- struct{}{}
		defer func() { <-slots }()
		reverse.ServeHTTP(w, r)
	}))
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// senderPause is how long a caller waits after a refusal before it asks again.
const senderPause = time.Millisecond

// sendFrom sends b.N requests through random hosts. A refused request is sent again until it is answered.
func sendFrom(b *testing.B, server *standin.Server, addresses []string, path string) {
	transport := &http.Transport{MaxIdleConnsPerHost: senderCallers}
	b.Cleanup(transport.CloseIdleConnections)
	var left atomic.Int64
	left.Store(int64(b.N))
	latencies := make([][]time.Duration, senderCallers)
	b.ResetTimer()
	var callers sync.WaitGroup
	for caller := range senderCallers {
		callers.Go(func() {
			for n := left.Add(-1); n >= 0; n = left.Add(-1) {
				started := time.Now()
				for try := 0; !asked(b, transport, addresses[(int(n)*7+caller+try)%len(addresses)]+path); try++ {
					time.Sleep(senderPause)
				}
				latencies[caller] = append(latencies[caller], time.Since(started))
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(server.Counts().Overloads)/float64(b.N), "overloads/op")
}

// asked reports whether the request was answered.
func asked(b *testing.B, transport *http.Transport, link string) bool {
	request, _ := http.NewRequest(http.MethodGet, "http://"+link, nil)
	request.Header.Set(target.HeaderKey, key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		b.Error(err)
		return true
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
