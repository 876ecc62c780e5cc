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

// benchTarget responds at once, as cheaply as net/http allows, so that the results measure the proxy and not the target.
func benchTarget(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write([]byte("the answer of the target\n"))
}

// processorTime returns the CPU time of this process, user and system, in all threads.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchCallers is the number of concurrent callers, each with its own connection.
const benchCallers = 16

// measure sends b.N requests over 16 connections and reports requests/s and CPU time per request. Caller, proxy and target
// share the process, so each result includes all their costs; the differences between the results are the proxy's cost.
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

// benchDeployment has one target with many slots, so that the gate does not limit the throughput.
func benchDeployment(b *testing.B) *deployment {
	cleanup = b.Cleanup
	d := newDeployment()
	d.addRawTarget(benchTarget)
	announcement := d.targets["raw"].GetAnnouncement()
	announcement.Slots, announcement.MaxConnections = 64, 200
	d.addHost("h0", "seoul-gangnam")
	d.addHost("h1", "seoul-gangnam")
	d.setOwner("raw", "h1", 1)
	return d
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
	b.Run("attached", func(b *testing.B) { measure(b, benchDeployment(b).hosts["h1"].ingressAddress, "/desk/a") })
	b.Run("ingress+attached", func(b *testing.B) { measure(b, benchDeployment(b).hosts["h0"].ingressAddress, "/desk/a") })
}

// Parameters of BenchmarkSenders, which match the users' deployment: 12 hosts, and a target with 2 slots and 2 ms of work
// per request. On average, two requests of a user are in the system; they arrive at random hosts.
const (
	senderHosts   = 12
	senderCallers = 6
	senderWork    = 2 * time.Millisecond
)

// BenchmarkSenders compares one attached sender with direct sending by every host, each with its own gate of 2 slots.
func BenchmarkSenders(b *testing.B) {
	b.Run("attached", func(b *testing.B) {
		d, server := senderDeployment(b)
		addresses := []string{}
		for _, h := range d.hosts {
			addresses = append(addresses, h.ingressAddress)
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
		Name: "t1", Service: serviceName, Slots: 2, Capabilities: &schemav1.TargetCapabilities{}, Faults: standin.Faults{ServiceTime: senderWork},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close() })
	return server
}

func senderDeployment(b *testing.B) (*deployment, *standin.Server) {
	cleanup = b.Cleanup
	d := newDeployment()
	server := d.addTarget("t1", standin.Options{
		Slots: 2, Capabilities: &schemav1.TargetCapabilities{}, Faults: standin.Faults{ServiceTime: senderWork},
	})
	for i := range senderHosts {
		d.addHost("h"+string(rune('a'+i)), "seoul-gangnam")
	}
	d.setOwner("t1", "ha", 1)
	return d, server
}

// directSender starts a host that sends to the target directly and limits only its own requests to 2 at once.
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

// senderPause is the time that a caller waits after a refusal before it sends the request again.
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
				for try := 0; !isAnswered(b, transport, addresses[(int(n)*7+caller+try)%len(addresses)]+path); try++ {
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

// isAnswered reports whether the request was answered.
func isAnswered(b *testing.B, transport *http.Transport, link string) bool {
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
