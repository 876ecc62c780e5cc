package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/registrar"
	"almondrock.example/almondrock/pkg/routes"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
)

const (
	// maxAcceptedCrashes is the number of targets that a request may crash, contactTime how long after that the hosts may take to learn
	// of it, and maxLateArrivals the number of arrivals at targets that are accepted later.
	maxAcceptedCrashes = 3
	contactTime        = 3 * time.Second
	maxLateArrivals    = 3
	// targetDownTime is how long a crashed target is down.
	targetDownTime = time.Second
	// deadlyPart is the part of the path that marks requests that targets crash on.
	deadlyPart = "/deadly"
)

// crashingTarget is a target that closes its listener and all connections when it begins to run a request with deadlyPart in its path. It
// is registered again, with a new start at the same address, after targetDownTime.
type crashingTarget struct {
	id, dataCentre, address string
	registry                *registrar.Registrar
	arrivals                *arrivalTimes
	ended                   chan struct{}

	mu      sync.Mutex
	server  *http.Server
	started int64
}

// arrivalTimes has the times at which requests that targets crash on arrived at any target.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// thirdCrash returns when the third target crashed, or the zero time.
func (a *arrivalTimes) thirdCrash() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.times) < maxAcceptedCrashes {
		return time.Time{}
	}
	return a.times[maxAcceptedCrashes-1]
}

// total returns the number of arrivals.
func (a *arrivalTimes) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.times)
}

// after returns the number of arrivals later than a time.
func (a *arrivalTimes) after(at time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, arrival := range a.times {
		if arrival.After(at) {
			count++
		}
	}
	return count
}

// start listens and registers the target.
func (t *crashingTarget) start() {
	listener, err := net.Listen("tcp", t.address)
	Expect(err).NotTo(HaveOccurred())
	t.mu.Lock()
	t.started++
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	server, started := t.server, t.started
	t.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	Eventually(func() error {
		_, err := t.registry.Announce(context.Background(), &schemav1.Registration{
			Id: t.id, StartedUnixMs: started, Service: "desk", Address: t.address, DataCentre: t.dataCentre, Slots: 2, Life: schemav1.Life_LIFE_READY,
		}, 1)
		return err
	}, "5s").Should(Succeed())
}

// crash ends the target and starts it again later.
func (t *crashingTarget) crash() {
	t.mu.Lock()
	_ = t.server.Close()
	t.mu.Unlock()
	go func() {
		defer GinkgoRecover()
		select {
		case <-t.ended:
		case <-time.After(targetDownTime):
			t.start()
		}
	}()
}

func (t *crashingTarget) serve(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, deadlyPart) {
		t.arrivals.add()
		t.crash()
		return
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", t.id)
	fmt.Fprint(w, "by ", t.id)
}

// fleet is a registry host, entry hosts in two regions and targets that crash on some requests.
type fleet struct {
	hosts    []*Host
	targets  []*crashingTarget
	arrivals arrivalTimes
}

func startFleet(hosts, targets int) *fleet {
	GinkgoHelper()
	f := &fleet{}
	address, ended := freeAddress(), make(chan struct{})
	registry, err := registrar.New(context.Background(), registrar.Options{
		Name: "r", DataCentre: "n", Regions: testRegions, PeerAddress: address, Seeds: []string{address}, Bootstrap: true, DataDir: GinkgoT().TempDir(),
		Decode: func(*schemav1.RouteDocument) (*routes.Configuration, error) {
			return testConfiguration(testTimeout), nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(registry.Start()).To(Succeed())
	DeferCleanup(registry.Stop)
	Eventually(func() error {
		return registry.SubmitConfiguration(context.Background(), &schemav1.RouteDocument{Revision: 1})
	}, "10s").Should(Succeed())
	for i := range targets {
		t := &crashingTarget{
			id: fmt.Sprint("t", i), dataCentre: []string{"n", "m"}[i%2], address: freeAddress(), registry: registry, arrivals: &f.arrivals, ended: ended,
		}
		t.start()
		f.targets = append(f.targets, t)
	}
	DeferCleanup(func() {
		close(ended)
		for _, t := range f.targets {
			t.mu.Lock()
			_ = t.server.Close()
			t.mu.Unlock()
		}
	})
	for i := range hosts {
		h := newHostIn(fmt.Sprint("e", i), []string{"n", "m"}[i%2], []string{address}, testTimeout)
		Expect(h.Start()).To(Succeed())
		DeferCleanup(h.Kill)
		f.hosts = append(f.hosts, h)
		Eventually(func() int { return len(h.current().targets) }, "10s").Should(Equal(targets))
	}
	return f
}

var _ = Describe("Request that each target crashes on", func() {
	DescribeTable("reaches no further targets once three have crashed and all hosts can know it", func(path string) {
		f := startFleet(3, 10)
		var answered, refused atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		var others sync.WaitGroup
		for i, h := range f.hosts {
			others.Go(func() {
				defer GinkgoRecover()
				for n := 0; ctx.Err() == nil; n++ {
					status, body, _ := sendRequest(h, fmt.Sprintf("/safe/%d-%d", i, n))
					switch {
					case status == http.StatusOK:
						answered.Add(1)
					case strings.Contains(body, "crashes-targets"):
						refused.Add(1)
					}
				}
			})
		}
		deadline := time.Now().Add(20 * time.Second)
		for n := 0; time.Now().Before(deadline); n++ {
			if third := f.arrivals.thirdCrash(); !third.IsZero() && time.Since(third) > contactTime+2*time.Second {
				break
			}
			go sendRequest(f.hosts[n%len(f.hosts)], path)
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		others.Wait()
		AddReportEntry("arrivals", fmt.Sprintf("%d arrivals, %d other requests answered", f.arrivals.total(), answered.Load()))
		if third := f.arrivals.thirdCrash(); !third.IsZero() {
			Expect(f.arrivals.after(third.Add(contactTime))).To(BeNumerically("<=", maxLateArrivals))
		}
		Expect(answered.Load()).To(BeNumerically(">", 50))
		Expect(refused.Load()).To(BeZero(), "other requests")
	},
		Entry("idempotent", "/safe/deadly"),
		Entry("not idempotent", "/unsafe/deadly"),
	)
})
