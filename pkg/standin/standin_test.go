package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/standin"
	"almondrock.example/almondrock/pkg/target"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

func start(options standin.Options) *standin.Server {
	options.Name = "t1"
	server, err := standin.Start(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

func control(server *standin.Server, path string, request any) int {
	data, err := json.Marshal(request)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+server.Address()+path, "application/json", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	return response.StatusCode
}

func post(server *standin.Server, headers ...string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/book", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(target.HeaderRequestID, "r1")
	request.Header.Set(target.HeaderKey, "k1")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

var grant = target.Grant{Keyspace: "desk/*", Shard: 7, Fence: "1.1.5"}

// A stand-in that ran work without the right to would hide two owners from every test built on it.
var _ = DescribeTable("I1: the fence capability decides what runs",
	func(fence, deadlineAt string, change func(server *standin.Server, now *atomic.Int64), status int) {
		now := &atomic.Int64{}
		now.Store(int64(time.Hour))
		server := start(standin.Options{Clock: func() time.Duration { return time.Duration(now.Load()) }})
		Expect(control(server, target.GrantPath, target.GrantRequest{ExpiryMs: 400, Grants: []target.Grant{grant}})).To(Equal(200))
		change(server, now)
		headers := []string{target.HeaderShard, target.FormatShard(grant), target.HeaderFence, fence}
		if deadlineAt != "" {
			headers = append(headers, target.HeaderDeadlineAt, deadlineAt)
		}
		response := post(server, headers...)
		Expect(response.StatusCode).To(Equal(status))
		Expect(response.Header.Get(target.HeaderRequestID)).To(Equal("r1"))
		if status == http.StatusOK {
			Expect(server.Executions()).To(HaveLen(1))
			return
		}
		Expect(response.Header.Get(target.HeaderNotRun)).To(Equal("1"))
		Expect(server.Executions()).To(BeEmpty())
	},
	Entry("granted", "1.1.5", "", nothing, 200),
	Entry("older fence", "1.1.4", "", nothing, 409),
	Entry("no fence", "", "", nothing, 409),
	Entry("deadline ahead", "1.1.5", "3600100", nothing, 200),
	Entry("deadline passed", "1.1.5", "3600000", nothing, 409),
	Entry("grant expired", "1.1.5", "", func(_ *standin.Server, now *atomic.Int64) { now.Add(int64(time.Second)) }, 409),
	Entry("restarted", "1.1.5", "", func(server *standin.Server, _ *atomic.Int64) { server.Restart() }, 409),
	Entry("revoked", "1.1.5", "", func(server *standin.Server, _ *atomic.Int64) {
		Expect(control(server, target.RevokePath, target.RevokeRequest{Grants: []target.Grant{grant}})).To(Equal(200))
	}, 409),
	Entry("renewed in time", "1.1.5", "", func(server *standin.Server, now *atomic.Int64) {
		now.Add(int64(300 * time.Millisecond))
		Expect(control(server, target.GrantPath, target.GrantRequest{ExpiryMs: 400, RenewAll: true})).To(Equal(200))
		now.Add(int64(300 * time.Millisecond))
	}, 200),
	Entry("renewal delivered after its expiry in the target's clock", "1.1.5", "", func(server *standin.Server, now *atomic.Int64) {
		now.Add(int64(300 * time.Millisecond))
		request := target.GrantRequest{ExpiryMs: 400, ExpiresAtMs: 3600250, RenewAll: true}
		Expect(control(server, target.GrantPath, request)).To(Equal(200))
	}, 409),
)

func nothing(*standin.Server, *atomic.Int64) {}

var noFence = &schemav1.TargetCapabilities{}

var _ = Describe("faults", func() {
	It("counts requests over the slots and does not run them", func() {
		server := start(standin.Options{Slots: 1, Capabilities: noFence})
		body, finish := io.Pipe()
		first := make(chan int)
		go func() {
			defer GinkgoRecover()
			response, err := http.Post("http://"+server.Address()+"/book", "text/plain", body)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			first <- response.StatusCode
		}()
		Eventually(func() int { return server.Counts().Requests }).Should(Equal(1))
		second := post(server)
		Expect(second.StatusCode).To(Equal(503))
		Expect(second.Header.Get(target.HeaderNotRun)).To(Equal("1"))
		Expect(finish.Close()).To(Succeed())
		Expect(<-first).To(Equal(200))
		Expect(server.Counts().Overloads).To(Equal(1))
		Expect(server.Executions()).To(HaveLen(1))
	})

	It("is slow while cold, fails work beside other work, and warms up", func() {
		server := start(standin.Options{Capabilities: noFence, Faults: standin.Faults{WarmupRequests: 2, ServiceTime: 2 * time.Millisecond}})
		Expect(post(server).StatusCode).To(Equal(200))
		Expect(server.Executions()[0].RunTime).To(BeNumerically(">=", 20*time.Millisecond))
		body, finish := io.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			if response, err := http.Post("http://"+server.Address()+"/book", "text/plain", body); err == nil {
				_ = response.Body.Close()
			}
		}()
		Eventually(func() int { return server.Counts().Requests }).Should(Equal(2))
		Expect(post(server).StatusCode).To(Equal(500))
		Expect(server.Counts().ColdFailures).To(Equal(1))
		// Two requests have run, so the target is warm.
		Expect(post(server).StatusCode).To(Equal(200))
		Expect(finish.Close()).To(Succeed())
		Eventually(done).Should(BeClosed())
		server.Restart()
		Expect(post(server).StatusCode).To(Equal(200))
		Expect(server.Executions()[len(server.Executions())-1].RunTime).To(BeNumerically(">=", 20*time.Millisecond))
	})

	It("counts no overload when a sender goes on as soon as it has the whole answer", func() {
		server := start(standin.Options{Slots: 1, Capabilities: noFence})
		for range 200 {
			response, err := http.Get("http://" + server.Address() + standin.FilePrefix + "a?size=65536")
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
		}
		Expect(server.Counts().Overloads).To(BeZero())
	})

	It("cuts an answer so that the reader sees it", func() {
		server := start(standin.Options{Capabilities: noFence, Faults: standin.Faults{TruncateAfter: 10, TruncateCount: 1}})
		_, err := io.ReadAll(post(server).Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		_, err = io.ReadAll(post(server).Body)
		Expect(err).NotTo(HaveOccurred())
	})

	It("checks the grant again after a freeze", func() {
		server := start(standin.Options{})
		Expect(control(server, target.GrantPath, target.GrantRequest{ExpiryMs: 60000, Grants: []target.Grant{grant}})).To(Equal(200))
		server.SetFaults(func(f *standin.Faults) { f.Freeze = true })
		done := make(chan int)
		go func() {
			defer GinkgoRecover()
			done <- post(server, target.HeaderShard, target.FormatShard(grant), target.HeaderFence, grant.Fence).StatusCode
		}()
		Consistently(done, "20ms").ShouldNot(Receive())
		server.Restart()
		server.SetFaults(func(f *standin.Faults) { f.Freeze = false })
		Eventually(done).Should(Receive(Equal(409)))
	})
})

var _ = It("announces itself to the next host when one fails", func() {
	received := make(chan *schemav1.Announcement, 100)
	host := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		announcement := &schemav1.Announcement{}
		if protojson.Unmarshal(data, announcement) == nil {
			received <- announcement
		}
	}))
	DeferCleanup(host.Close)
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	server := start(standin.Options{
		Service: "desk", Token: "secret", AnnounceInterval: 10 * time.Millisecond,
		Hosts: []string{dead.Listener.Addr().String(), host.Listener.Addr().String()},
	})
	var first, second *schemav1.Announcement
	Eventually(received).Should(Receive(&first))
	Eventually(received).Should(Receive(&second))
	Expect(first.GetAddress()).To(Equal(server.Address()))
	Expect(first.GetToken()).To(Equal("secret"))
	Expect(second.GetSequence()).To(BeNumerically(">", first.GetSequence()))
	Expect(second.GetBootId()).To(Equal(server.BootID()))
})
