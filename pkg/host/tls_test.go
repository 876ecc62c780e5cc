package host_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"almondrock.example/almondrock/pkg/config"
	"almondrock.example/almondrock/pkg/host"
	"almondrock.example/almondrock/pkg/proxy"
	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

func TestHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "host")
}

const baseText = `regions: [{name: east}]
data_centres: [{name: east-1, region: east}]
services:
  - {name: desk, kind: exclusive, shards: 16, routes: [{path_prefix: /, class: interactive}]}
`

var (
	self                = tlsconfig.Identity{DataCentre: "east-1", Name: "h1"}
	otherHost           = tlsconfig.Identity{DataCentre: "east-1", Name: "h2"}
	otherDataCentreHost = tlsconfig.Identity{DataCentre: "west-1", Name: "h1"}
	ana                 = tlsconfig.Identity{Name: "ana"}
	bo                  = tlsconfig.Identity{Name: "bo"}
)

// pki issues certificates from one certificate authority.
type pki struct {
	authority *tlsconfig.Authority
	now       time.Time
}

func newPKI() *pki {
	now := time.Now()
	authority, err := tlsconfig.NewAuthority("test", now.Add(-2*time.Hour), now.Add(2*time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return &pki{authority: authority, now: now}
}

// client returns a client configuration with a certificate of identity that is valid until the given time. It accepts any
// server.
func (p *pki) client(identity tlsconfig.Identity, until time.Time) *tls.Config {
	issued, err := p.authority.Issue(identity, p.now.Add(-time.Hour), until)
	Expect(err).NotTo(HaveOccurred())
	pair, err := tls.X509KeyPair(issued.Certificate, issued.Key)
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}}
}

func (p *pki) valid(identity tlsconfig.Identity) *tls.Config {
	return p.client(identity, p.now.Add(time.Hour))
}

// writeFiles writes the TLS files of identity into dir. It renames each file into place, as operators are told to.
func (p *pki) writeFiles(dir string, identity tlsconfig.Identity) tlsconfig.Files {
	issued, err := p.authority.Issue(identity, p.now.Add(-time.Hour), p.now.Add(time.Hour))
	Expect(err).NotTo(HaveOccurred())
	write := func(name string, content []byte) string {
		file := filepath.Join(dir, name)
		Expect(os.WriteFile(file+".tmp", content, 0o600)).To(Succeed())
		Expect(os.Rename(file+".tmp", file)).To(Succeed())
		return file
	}
	return tlsconfig.Files{Key: write("key.pem", issued.Key), Certificate: write("cert.pem", issued.Certificate), Authorities: write("ca.pem", p.authority.PEM())}
}

type runningHost struct {
	*host.Host
	rpc, data string
}

func settings(files tlsconfig.Files) *schemav1.HostSettings {
	return &schemav1.HostSettings{
		Name: self.Name, DataCentre: self.DataCentre, Region: "east", DataDir: filepath.Join(GinkgoT().TempDir(), "data"),
		Listen: "127.0.0.1:0", Data: "127.0.0.1:0", Rpc: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Certificate: files.Certificate, Key: files.Key, Authorities: files.Authorities, Submitters: "ana", AnnounceToken: "token-7f3a",
	}
}

// start runs a deployment of one host and waits until it is ready.
func start(files tlsconfig.Files) runningHost {
	values := settings(files)
	listeners, err := host.Listen(values)
	Expect(err).NotTo(HaveOccurred())
	values.Seeds = self.Name + "=" + listeners.RPC.Addr().String()
	started, err := host.New(host.Options{
		Settings: values, Listeners: listeners, SubmissionCheck: config.CheckSubmission,
		InitialSubmission: &schemav1.Submission{Id: "first", Base: &schemav1.SourceFile{Name: "base.yaml", Content: []byte(baseText)}},
	})
	Expect(err).NotTo(HaveOccurred())
	started.Start()
	DeferCleanup(started.Kill)
	Eventually(func() bool { return started.Ready().OK }, "20s", "20ms").Should(BeTrue())
	return runningHost{Host: started, rpc: listeners.RPC.Addr().String(), data: listeners.Data.Addr().String()}
}

func call(address string, config *tls.Config, method string, request, response proto.Message) error {
	client := rpc.NewClient(rpc.ClientOptions{TLS: config})
	defer client.Close()
	return client.Call(context.Background(), address, method, request, response)
}

// get returns the HTTP status and body, or 0 and the error text when there is no response.
func get(address string, config *tls.Config, method, path, body string) (int, string) {
	return fetch("https://"+address+path, config, method, body)
}

func getPlain(address, path string) (int, string) {
	return fetch("http://"+address+path, nil, "GET", "")
}

func fetch(link string, config *tls.Config, method, body string) (int, string) {
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(method, link, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

var _ = Describe("a host with TLS", Ordered, func() {
	var (
		trusted *pki
		dir     string
		h       runningHost
	)
	BeforeAll(func() {
		trusted, dir = newPKI(), GinkgoT().TempDir()
		h = start(trusted.writeFiles(dir, self))
	})
	status := func(config *tls.Config) error {
		return call(h.rpc, config, "Host.Status", &schemav1.HostStatusRequest{}, &schemav1.HostStatusResponse{})
	}

	It("serves other hosts and operators", func() {
		Expect(status(trusted.valid(otherHost))).To(Succeed())
		code, _ := get(h.AdminAddress(), trusted.valid(ana), "GET", "/v1/status", "")
		Expect(code).To(Equal(200))
		code, body := get(h.data, trusted.valid(otherHost), "GET", "/desk/", "")
		Expect(code).To(BeNumerically(">=", 400), body)
	})

	// A client with an invalid certificate must be refused at all three addresses.
	DescribeTable("refuses at the TLS handshake", func(client func() *tls.Config) {
		Expect(status(client())).NotTo(Succeed())
		for _, address := range []string{h.data, h.AdminAddress()} {
			code, _ := get(address, client(), "GET", "/v1/status", "")
			Expect(code).To(BeZero(), address)
		}
	},
		Entry("an expired certificate", func() *tls.Config { return trusted.client(otherHost, trusted.now.Add(-time.Minute)) }),
		Entry("a certificate of another authority", func() *tls.Config { return newPKI().valid(otherHost) }),
		Entry("TLS 1.2", func() *tls.Config {
			return &tls.Config{MaxVersion: tls.VersionTLS12, InsecureSkipVerify: true}
		}),
	)

	// An operator's certificate must not work as a host's.
	It("refuses calls and forwarded requests from operators and from clients without a certificate", func() {
		for _, client := range []*tls.Config{trusted.valid(ana), {InsecureSkipVerify: true}} {
			Expect(status(client)).NotTo(Succeed())
			code, _ := get(h.data, client, "GET", "/desk/", "")
			Expect(code).To(BeZero())
		}
	})

	// A host that could claim another host's identity could take over its leases and its membership in the groups.
	DescribeTable("refuses calls that claim another identity", func(method string, request proto.Message) {
		for _, client := range []tlsconfig.Identity{otherHost, otherDataCentreHost} {
			err := call(h.rpc, trusted.valid(client), method, request, &schemav1.JoinResponse{})
			var remote *rpc.RemoteError
			Expect(errors.As(err, &remote)).To(BeTrue(), "%v", err)
			Expect(remote.Code).To(Equal("wrong-identity"))
		}
	},
		Entry("Join", "Control.Join", &schemav1.JoinRequest{Host: &schemav1.Host{Name: "h1", DataCentre: "east-1"}}),
		Entry("Renew", "Group.Renew", &schemav1.RenewRequest{Host: "h1"}),
		Entry("Poll", "Control.Poll", &schemav1.PollRequest{Host: "h1", DataCentre: "east-1"}),
		Entry("Bootstrap", "Control.Bootstrap", &schemav1.BootstrapRequest{Name: "h9"}),
		Entry("AddMember", "Control.AddMember", &schemav1.AddMemberRequest{Name: "h9"}),
	)

	It("refuses proposals and announcements from other data centres", func() {
		for method, request := range map[string]proto.Message{"Group.Propose": &schemav1.ProposeRequest{}, "Group.Announce": &schemav1.AnnounceRequest{}} {
			Expect(call(h.rpc, trusted.valid(otherDataCentreHost), method, request, &schemav1.ProposeResponse{})).To(MatchError(ContainSubstring("wrong-identity")))
			Expect(call(h.rpc, trusted.valid(otherHost), method, request, &schemav1.ProposeResponse{})).To(Succeed())
		}
	})

	// The load balancer has no certificate. Only the operators named in the settings may submit.
	DescribeTable("checks the role of clients of the administration API", func(client func() *tls.Config, method, path string, want int) {
		code, body := get(h.AdminAddress(), client(), method, path, `{"id":"role-test","basedOn":"1"}`)
		Expect(code).To(Equal(want), body)
		if want == 403 {
			Expect(body).To(ContainSubstring(`"code":"forbidden","ran":"not-run"`))
		}
	},
		Entry("balancer: health", withoutCertificate, "GET", "/healthz", 200),
		Entry("balancer: readiness", withoutCertificate, "GET", "/readyz", 200),
		Entry("nobody: status", withoutCertificate, "GET", "/v1/status", 403),
		Entry("nobody: metrics", withoutCertificate, "GET", "/metrics", 403),
		Entry("nobody: profiles", withoutCertificate, "GET", "/debug/pprof/", 403),
		Entry("nobody: submit", withoutCertificate, "POST", "/v1/submit", 403),
		Entry("nobody: unknown path", withoutCertificate, "GET", "/none", 403),
		Entry("operator: read", func() *tls.Config { return trusted.valid(bo) }, "GET", "/v1/configuration", 200),
		Entry("operator: plan", func() *tls.Config { return trusted.valid(bo) }, "POST", "/v1/plan", 200),
		Entry("operator: submit", func() *tls.Config { return trusted.valid(bo) }, "POST", "/v1/submit", 403),
		Entry("submitter: submit of no files", func() *tls.Config { return trusted.valid(ana) }, "POST", "/v1/submit", 422),
		Entry("host: read", func() *tls.Config { return trusted.valid(otherHost) }, "GET", "/v1/status", 200),
		Entry("host of a submitter's name: submit", func() *tls.Config {
			return trusted.valid(tlsconfig.Identity{DataCentre: "east-1", Name: "ana"})
		}, "POST", "/v1/submit", 403),
	)

	// The conflict that other operators see must name the operator who submitted.
	It("records the operator named in the certificate", func() {
		body := `{"id":"named","basedOn":"1","operator":"bo","base":{"name":"base.yaml","content":"` + encodeBase64(strings.Replace(baseText, "interactive", "booking", 1)) + `"}}`
		code, responseBody := get(h.AdminAddress(), trusted.valid(ana), "POST", "/v1/submit", body)
		Expect(code).To(Equal(200), responseBody)
		code, responseBody = get(h.AdminAddress(), trusted.valid(ana), "POST", "/v1/submit", strings.Replace(body, "named", "second", 1))
		Expect(code).To(Equal(409), responseBody)
		Expect(responseBody).To(ContainSubstring(`"winnerOperator":"ana"`))
	})

	It("forwards requests over TLS through the peer pool", func() {
		pool := proxy.NewPeerPool(trusted.valid(otherHost), nil)
		defer pool.Close()
		request, err := http.NewRequest("GET", "http://"+h.data+"/desk/", nil)
		Expect(err).NotTo(HaveOccurred())
		reply, err := pool.Send(request, nil)
		Expect(err).NotTo(HaveOccurred())
		reply.Discard()
	})

	// Rotation must not need a restart. Afterwards the listeners present the new certificate and accept only the new authority.
	It("reloads rotated certificates on the rpc and admin listeners", func() {
		next := newPKI()
		next.writeFiles(dir, self)
		Eventually(func() error { return status(next.valid(otherHost)) }, "20s", "50ms").Should(Succeed())
		code, _ := get(h.AdminAddress(), next.valid(ana), "GET", "/v1/status", "")
		Expect(code).To(Equal(200))
		Expect(status(trusted.valid(otherHost))).NotTo(Succeed())
		code, _ = get(h.AdminAddress(), trusted.valid(ana), "GET", "/v1/status", "")
		Expect(code).To(BeZero())
		Eventually(func() bool { return h.Ready().OK }, "20s", "20ms").Should(BeTrue())
	})

	It("writes no key, token or content of the TLS files to the log", func() {
		secrets := []string{"token-7f3a", "BEGIN", "PRIVATE"}
		for _, secret := range secrets {
			Expect(logOutput.String()).NotTo(ContainSubstring(secret))
		}
		Expect(logOutput.String()).To(ContainSubstring("host started"))
	})
})

func withoutCertificate() *tls.Config { return &tls.Config{InsecureSkipVerify: true} }

// A missing setting must prevent the start instead of turning TLS off.
var _ = DescribeTable("does not start", func(change func(*schemav1.HostSettings), want string) {
	values := settings(newPKI().writeFiles(GinkgoT().TempDir(), self))
	change(values)
	_, err := host.New(host.Options{Settings: values, SubmissionCheck: config.CheckSubmission})
	Expect(err).To(MatchError(ContainSubstring(want)))
},
	Entry("with neither certificates nor insecure", func(s *schemav1.HostSettings) { s.Certificate, s.Key, s.Authorities = "", "", "" }, "neither TLS files nor --insecure are set"),
	Entry("with only some of the TLS files", func(s *schemav1.HostSettings) { s.Key = "" }, "only a part of the TLS files is set"),
	Entry("with both certificates and insecure", func(s *schemav1.HostSettings) { s.Insecure = true }, "both TLS files and --insecure are set"),
	Entry("with another host's certificate", func(s *schemav1.HostSettings) { s.Name = "h2" }, "the settings say almondrock://east-1/host/h2"),
	Entry("with the certificate as the key", func(s *schemav1.HostSettings) { s.Key = s.Certificate }, "cert.pem"),
)

var _ = It("warns when TLS is off", func() {
	values := settings(tlsconfig.Files{})
	values.Insecure = true
	h, err := host.New(host.Options{Settings: values, SubmissionCheck: config.CheckSubmission})
	Expect(err).NotTo(HaveOccurred())
	h.Kill()
	klog.Flush()
	Expect(logOutput.String()).To(ContainSubstring("runs in plain text (--insecure)"))
})
