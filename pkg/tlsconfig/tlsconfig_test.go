package tlsconfig_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"almondrock.example/almondrock/pkg/rpc"
	schemav1 "almondrock.example/almondrock/pkg/schema/v1"
	"almondrock.example/almondrock/pkg/tlsconfig"
)

func TestTLSConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsconfig")
}

var (
	start    = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	gangnam1 = tlsconfig.Identity{DataCentre: "seoul-gangnam", Name: "host-1"}
	mapo2    = tlsconfig.Identity{DataCentre: "seoul-mapo", Name: "host-2"}
	operator = tlsconfig.Identity{Name: "mina"}
)

// clock is a clock that tests set.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newAuthority() *tlsconfig.Authority {
	authority, err := tlsconfig.NewAuthority("test", start.Add(-time.Hour), start.Add(1000*time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return authority
}

// issueFiles writes to dir a certificate for identity with the given validity, its key, and the authorities that it
// trusts.
func issueFiles(dir string, issuer *tlsconfig.Authority, identity tlsconfig.Identity, from, to time.Time, trusted ...*tlsconfig.Authority) tlsconfig.Files {
	issued, err := issuer.Issue(identity, from, to)
	Expect(err).NotTo(HaveOccurred())
	files := tlsconfig.Files{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authorities: filepath.Join(dir, "ca.pem"),
	}
	var authorities []byte
	for _, authority := range trusted {
		authorities = append(authorities, authority.PEM()...)
	}
	Expect(os.WriteFile(files.Certificate, issued.Certificate, 0o600)).To(Succeed())
	Expect(os.WriteFile(files.Key, issued.Key, 0o600)).To(Succeed())
	Expect(os.WriteFile(files.Authorities, authorities, 0o600)).To(Succeed())
	return files
}

func openSource(files tlsconfig.Files, now func() time.Time) *tlsconfig.Source {
	result, err := tlsconfig.NewSource(tlsconfig.Options{Files: files, Now: now})
	Expect(err).NotTo(HaveOccurred())
	return result
}

func newSource(issuer *tlsconfig.Authority, identity tlsconfig.Identity, clock *clock, trusted ...*tlsconfig.Authority) *tlsconfig.Source {
	return openSource(issueFiles(GinkgoT().TempDir(), issuer, identity, start, start.Add(100*time.Hour), trusted...), clock.Now)
}

// connect returns both ends of a loopback TCP connection. net.Pipe has no buffer, so a side that sends a TLS alert would
// block while the other side still writes.
func connect() (a, b net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	b, err = net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	a, err = listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	return a, b
}

// handshake runs a TLS handshake over loopback and returns the states and errors of both sides.
func handshake(server, client *tls.Config) (serverState, clientState tls.ConnectionState, serverErr, clientErr error) {
	a, b := connect()
	defer a.Close()
	defer b.Close()
	done := make(chan struct{})
	serverConn, clientConn := tls.Server(a, server), tls.Client(b, client)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() {
		defer close(done)
		defer a.Close()
		serverErr = serverConn.HandshakeContext(ctx)
	}()
	clientErr = clientConn.HandshakeContext(ctx)
	if clientErr == nil {
		// In TLS 1.3 the client completes its handshake before the server verifies the client's certificate. The read waits
		// for the server's result.
		_, _ = clientConn.Read(make([]byte, 1))
	} else {
		b.Close()
	}
	<-done
	return serverConn.ConnectionState(), clientConn.ConnectionState(), serverErr, clientErr
}

var _ = Describe("Handshake", func() {
	It("gives each side the identity of the other over TLS 1.3", func() {
		authority, clock := newAuthority(), &clock{start}
		server, client := newSource(authority, gangnam1, clock, authority), newSource(authority, mapo2, clock, authority)
		serverState, clientState, serverErr, clientErr := handshake(server.ServerConfig(tlsconfig.AnyHost), client.ClientConfig(tlsconfig.Only(gangnam1)))
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(clientErr).NotTo(HaveOccurred())
		Expect(clientState.Version).To(Equal(uint16(tls.VersionTLS13)))
		Expect(tlsconfig.PeerIdentity(&serverState)).To(Equal(mapo2))
		Expect(tlsconfig.PeerIdentity(&clientState)).To(Equal(gangnam1))
	})

	It("refuses TLS 1.2 and clients without a certificate", func() {
		authority, clock := newAuthority(), &clock{start}
		server := newSource(authority, gangnam1, clock, authority).ServerConfig(tlsconfig.Anyone)
		for _, client := range []*tls.Config{
			{MaxVersion: tls.VersionTLS12, InsecureSkipVerify: true},
			{InsecureSkipVerify: true},
		} {
			_, _, serverErr, _ := handshake(server, client)
			Expect(serverErr).To(HaveOccurred())
		}
	})

	// Each case runs in both directions: bad, the source with the invalid certificate, is first the client and then the
	// server. want is a pointer to the expected error type.
	DescribeTable("refuses an invalid peer with the matching error type",
		func(badSource func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source, accept tlsconfig.IdentityCheck, later time.Duration, want any) {
			authority, clock := newAuthority(), &clock{start}
			good := openSource(issueFiles(GinkgoT().TempDir(), authority, gangnam1, start.Add(-time.Hour), start.Add(900*time.Hour), authority), clock.Now)
			bad := badSource(authority, clock)
			clock.now = start.Add(later)
			_, _, serverErr, _ := handshake(good.ServerConfig(accept), bad.ClientConfig(tlsconfig.Anyone))
			Expect(errors.As(serverErr, want)).To(BeTrue(), "as client: %v", serverErr)
			_, _, _, clientErr := handshake(bad.ServerConfig(tlsconfig.Anyone), good.ClientConfig(accept))
			Expect(errors.As(clientErr, want)).To(BeTrue(), "as server: %v", clientErr)
		},
		Entry("expired", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.Anyone, 101*time.Hour, new(*tlsconfig.ExpiredError)),
		Entry("not yet valid", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.Anyone, -time.Minute, new(*tlsconfig.NotYetValidError)),
		Entry("untrusted authority", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			other := newAuthority()
			return newSource(other, mapo2, at, other, good)
		}, tlsconfig.Anyone, time.Hour, new(*tlsconfig.UntrustedIssuerError)),
		Entry("another host", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.Only(gangnam1), time.Hour, new(*tlsconfig.IdentityError)),
		Entry("host of another data centre", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.HostsOf("seoul-gangnam"), time.Hour, new(*tlsconfig.IdentityError)),
		Entry("host instead of an operator", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.IdentityCheck(tlsconfig.AnyOperator), time.Hour, new(*tlsconfig.IdentityError)),
	)

	// An operator's certificate must not let its holder act as a host.
	It("accepts operators only as clients", func() {
		authority, clock := newAuthority(), &clock{start}
		host, person := newSource(authority, gangnam1, clock, authority), newSource(authority, operator, clock, authority)
		state, _, serverErr, _ := handshake(host.ServerConfig(tlsconfig.AnyOperator), person.ClientConfig(tlsconfig.AnyHost))
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(tlsconfig.PeerIdentity(&state)).To(Equal(operator))
		_, _, serverErr, _ = handshake(host.ServerConfig(tlsconfig.AnyHost), person.ClientConfig(tlsconfig.AnyHost))
		Expect(errors.As(serverErr, new(*tlsconfig.IdentityError))).To(BeTrue(), "%v", serverErr)
		_, _, _, clientErr := handshake(person.ServerConfig(tlsconfig.Anyone), host.ClientConfig(tlsconfig.Anyone))
		Expect(errors.As(clientErr, new(*tlsconfig.CertificateError))).To(BeTrue(), "%v", clientErr)
	})
})

var _ = Describe("Rotation", func() {
	var (
		authority *tlsconfig.Authority
		at        *clock
		dir       string
		server    *tls.Config
		client    *tls.Config
	)
	// serial returns the serial number of the certificate that the server presents.
	serial := func() string {
		_, state, _, err := handshake(server, client)
		Expect(err).NotTo(HaveOccurred())
		return state.PeerCertificates[0].SerialNumber.String()
	}
	// markChanged advances the clock by the check interval and gives the files a new modification time, so that the next
	// handshake reads them again.
	markChanged := func() {
		at.now = at.now.Add(tlsconfig.DefaultCheckInterval)
		for _, name := range []string{"cert.pem", "key.pem", "ca.pem"} {
			Expect(os.Chtimes(filepath.Join(dir, name), at.now, at.now)).To(Succeed())
		}
	}
	BeforeEach(func() {
		authority, at, dir = newAuthority(), &clock{start}, GinkgoT().TempDir()
		server = openSource(issueFiles(dir, authority, gangnam1, start, start.Add(time.Hour), authority), at.Now).ServerConfig(tlsconfig.AnyHost)
		client = newSource(authority, mapo2, at, authority).ClientConfig(tlsconfig.Only(gangnam1))
	})

	It("presents a replaced certificate without a restart", func() {
		first := serial()
		issueFiles(dir, authority, gangnam1, start, start.Add(50*time.Hour), authority)
		markChanged()
		Expect(serial()).NotTo(Equal(first))
		at.now = start.Add(2 * time.Hour)
		serial() // the first certificate has expired
	})

	// A certificate whose key has not been replaced yet must not be used, and must be read again later.
	It("keeps the old certificate until the new certificate and key match", func() {
		first := serial()
		key, err := os.ReadFile(filepath.Join(dir, "key.pem"))
		Expect(err).NotTo(HaveOccurred())
		issueFiles(dir, authority, gangnam1, start, start.Add(time.Hour), authority)
		newKey, err := os.ReadFile(filepath.Join(dir, "key.pem"))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(dir, "key.pem"), key, 0o600)).To(Succeed())
		markChanged()
		Expect(serial()).To(Equal(first))
		Expect(os.WriteFile(filepath.Join(dir, "key.pem"), newKey, 0o600)).To(Succeed())
		markChanged()
		Expect(serial()).NotTo(Equal(first))
	})

	DescribeTable("keeps the old certificate when the new files are invalid",
		func(replace func()) {
			first := serial()
			replace()
			markChanged()
			Expect(serial()).To(Equal(first))
		},
		Entry("certificate of another host", func() { issueFiles(dir, authority, mapo2, start, start.Add(time.Hour), authority) }),
		Entry("expired certificate", func() { issueFiles(dir, authority, gangnam1, start.Add(-time.Hour), start, authority) }),
		Entry("certificate of an untrusted authority", func() { issueFiles(dir, newAuthority(), gangnam1, start, start.Add(time.Hour), authority) }),
		Entry("file that is not PEM", func() { Expect(os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("x"), 0o600)).To(Succeed()) }),
		Entry("authorities file without a certificate", func() { Expect(os.WriteFile(filepath.Join(dir, "ca.pem"), nil, 0o600)).To(Succeed()) }),
	)

	It("accepts certificates of an authority that was added", func() {
		other := newAuthority()
		otherClient := newSource(other, mapo2, at, other, authority).ClientConfig(tlsconfig.Anyone)
		_, _, serverErr, _ := handshake(server, otherClient)
		Expect(errors.As(serverErr, new(*tlsconfig.UntrustedIssuerError))).To(BeTrue(), "%v", serverErr)
		issueFiles(dir, authority, gangnam1, start, start.Add(time.Hour), authority, other)
		markChanged()
		_, _, serverErr, _ = handshake(server, otherClient)
		Expect(serverErr).NotTo(HaveOccurred())
	})
})

var _ = DescribeTable("ParseIdentity refuses",
	func(text string) {
		uri, err := url.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		_, err = tlsconfig.ParseIdentity(uri)
		Expect(errors.As(err, new(*tlsconfig.IdentityError))).To(BeTrue())
	},
	Entry("another scheme", "spiffe://dobrich-north/host/a"),
	Entry("no name", "almondrock://dobrich-north/host/"),
	Entry("no data centre", "almondrock:///host/a"),
	Entry("another kind", "almondrock://dobrich-north/target/a"),
	Entry("a port", "almondrock://dobrich-north:1/host/a"),
	Entry("a query", "almondrock://dobrich-north/host/a?b"),
	Entry("an escape", "almondrock://dobrich-north/host/a%2Fb"),
	Entry("a longer path", "almondrock://operator/a/b/c"),
)

// Trial certificates must work for RPC between hosts, where handlers read the caller's identity.
var _ = It("writes trial certificates that work with RPC", func() {
	now := time.Now()
	files, err := tlsconfig.WriteTrialCertificates(GinkgoT().TempDir(), []tlsconfig.Identity{gangnam1, mapo2, operator}, now)
	Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer(rpc.ServerOptions{TLS: openSource(files[gangnam1], time.Now).ServerConfig(tlsconfig.Anyone)})
	DeferCleanup(server.Close)
	rpc.Register(server, "Test.Who", func(ctx context.Context, _ *schemav1.Entry) (*schemav1.Entry, error) {
		peer, _ := rpc.PeerFromContext(ctx)
		identity, err := tlsconfig.PeerIdentity(peer.TLS)
		return &schemav1.Entry{Data: []byte(identity.String())}, err
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	for _, identity := range []tlsconfig.Identity{mapo2, operator} {
		client := rpc.NewClient(rpc.ClientOptions{TLS: openSource(files[identity], time.Now).ClientConfig(tlsconfig.Only(gangnam1))})
		DeferCleanup(client.Close)
		response := &schemav1.Entry{}
		Expect(client.Call(context.Background(), listener.Addr().String(), "Test.Who", &schemav1.Entry{}, response)).To(Succeed())
		Expect(string(response.Data)).To(Equal(identity.String()))
	}
	wrong := rpc.NewClient(rpc.ClientOptions{TLS: openSource(files[operator], time.Now).ClientConfig(tlsconfig.Only(mapo2))})
	DeferCleanup(wrong.Close)
	err = wrong.Call(context.Background(), listener.Addr().String(), "Test.Who", &schemav1.Entry{}, &schemav1.Entry{})
	Expect(errors.As(err, new(*rpc.UnavailableError))).To(BeTrue(), "%v", err)
	Expect(errors.As(err, new(*tlsconfig.IdentityError))).To(BeTrue(), "%v", err)
})
