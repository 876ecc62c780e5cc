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

// clock is an injected clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newAuthority() *tlsconfig.Authority {
	authority, err := tlsconfig.NewAuthority("test", start.Add(-time.Hour), start.Add(1000*time.Hour))
	Expect(err).NotTo(HaveOccurred())
	return authority
}

// store writes a certificate for identity with the given validity and the authorities that its holder trusts.
func store(folder string, issuer *tlsconfig.Authority, identity tlsconfig.Identity, from, to time.Time, trusted ...*tlsconfig.Authority) tlsconfig.Files {
	issued, err := issuer.Issue(identity, from, to)
	Expect(err).NotTo(HaveOccurred())
	files := tlsconfig.Files{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authorities: filepath.Join(folder, "ca.pem"),
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

func source(files tlsconfig.Files, now func() time.Time) *tlsconfig.Source {
	result, err := tlsconfig.NewSource(tlsconfig.Options{Files: files, Now: now})
	Expect(err).NotTo(HaveOccurred())
	return result
}

func newSource(issuer *tlsconfig.Authority, identity tlsconfig.Identity, clock *clock, trusted ...*tlsconfig.Authority) *tlsconfig.Source {
	return source(store(GinkgoT().TempDir(), issuer, identity, start, start.Add(100*time.Hour), trusted...), clock.Now)
}

// connect returns both ends of a loopback connection. An unbuffered net.Pipe would block a side that sends an alert
// while the other still writes.
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

// shake runs a handshake over loopback and returns both sides' states and errors.
func shake(server, client *tls.Config) (serverState, clientState tls.ConnectionState, serverErr, clientErr error) {
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
		// The server's refusal of the client's certificate arrives after the client's side of the handshake.
		_, _ = clientConn.Read(make([]byte, 1))
	} else {
		b.Close()
	}
	<-done
	return serverConn.ConnectionState(), clientConn.ConnectionState(), serverErr, clientErr
}

var _ = Describe("Handshake", func() {
	It("gives both sides the other's identity over TLS 1.3", func() {
		authority, clock := newAuthority(), &clock{start}
		server, client := newSource(authority, gangnam1, clock, authority), newSource(authority, mapo2, clock, authority)
		serverState, clientState, serverErr, clientErr := shake(server.ServerConfig(tlsconfig.AnyHost), client.ClientConfig(tlsconfig.Only(gangnam1)))
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
			_, _, serverErr, _ := shake(server, client)
			Expect(serverErr).To(HaveOccurred())
		}
	})

	// Both directions run each fault: bad is the side whose certificate is at fault, as a client and as a server.
	DescribeTable("refuses a fault with its type",
		func(fault func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source, accept tlsconfig.IdentityCheck, later time.Duration, want any) {
			authority, clock := newAuthority(), &clock{start}
			good := source(store(GinkgoT().TempDir(), authority, gangnam1, start.Add(-time.Hour), start.Add(900*time.Hour), authority), clock.Now)
			bad := fault(authority, clock)
			clock.now = start.Add(later)
			_, _, serverErr, _ := shake(good.ServerConfig(accept), bad.ClientConfig(tlsconfig.Anyone))
			Expect(errors.As(serverErr, want)).To(BeTrue(), "as client: %v", serverErr)
			_, _, _, clientErr := shake(bad.ServerConfig(tlsconfig.Anyone), good.ClientConfig(accept))
			Expect(errors.As(clientErr, want)).To(BeTrue(), "as server: %v", clientErr)
		},
		Entry("expired", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.Anyone, 101*time.Hour, new(*tlsconfig.ExpiredError)),
		Entry("not yet valid", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.Anyone, -time.Minute, new(*tlsconfig.NotYetValidError)),
		Entry("wrong authority", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			other := newAuthority()
			return newSource(other, mapo2, at, other, good)
		}, tlsconfig.Anyone, time.Hour, new(*tlsconfig.UntrustedIssuerError)),
		Entry("another host", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.Only(gangnam1), time.Hour, new(*tlsconfig.IdentityError)),
		Entry("host of another data centre", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.HostsOf("seoul-gangnam"), time.Hour, new(*tlsconfig.IdentityError)),
		Entry("host in place of an operator", func(good *tlsconfig.Authority, at *clock) *tlsconfig.Source {
			return newSource(good, mapo2, at, good)
		}, tlsconfig.IdentityCheck(tlsconfig.AnyOperator), time.Hour, new(*tlsconfig.IdentityError)),
	)

	// Guards against an operator's certificate that is used to pose as a host.
	It("accepts operators as clients only", func() {
		authority, clock := newAuthority(), &clock{start}
		host, person := newSource(authority, gangnam1, clock, authority), newSource(authority, operator, clock, authority)
		state, _, serverErr, _ := shake(host.ServerConfig(tlsconfig.AnyOperator), person.ClientConfig(tlsconfig.AnyHost))
		Expect(serverErr).NotTo(HaveOccurred())
		Expect(tlsconfig.PeerIdentity(&state)).To(Equal(operator))
		_, _, serverErr, _ = shake(host.ServerConfig(tlsconfig.AnyHost), person.ClientConfig(tlsconfig.AnyHost))
		Expect(errors.As(serverErr, new(*tlsconfig.IdentityError))).To(BeTrue(), "%v", serverErr)
		_, _, _, clientErr := shake(person.ServerConfig(tlsconfig.Anyone), host.ClientConfig(tlsconfig.Anyone))
		Expect(errors.As(clientErr, new(*tlsconfig.CertificateError))).To(BeTrue(), "%v", clientErr)
	})
})

var _ = Describe("Rotation", func() {
	var (
		authority *tlsconfig.Authority
		at        *clock
		folder    string
		server    *tls.Config
		client    *tls.Config
	)
	// serial is the serial number that the server presents to a client that trusts everything relevant.
	serial := func() string {
		_, state, _, err := shake(server, client)
		Expect(err).NotTo(HaveOccurred())
		return state.PeerCertificates[0].SerialNumber.String()
	}
	// changed moves the clock past the interval and gives the files another modification time.
	changed := func() {
		at.now = at.now.Add(tlsconfig.DefaultCheckInterval)
		for _, name := range []string{"cert.pem", "key.pem", "ca.pem"} {
			Expect(os.Chtimes(filepath.Join(folder, name), at.now, at.now)).To(Succeed())
		}
	}
	BeforeEach(func() {
		authority, at, folder = newAuthority(), &clock{start}, GinkgoT().TempDir()
		server = source(store(folder, authority, gangnam1, start, start.Add(time.Hour), authority), at.Now).ServerConfig(tlsconfig.AnyHost)
		client = newSource(authority, mapo2, at, authority).ClientConfig(tlsconfig.Only(gangnam1))
	})

	It("presents a replaced certificate without a restart", func() {
		first := serial()
		store(folder, authority, gangnam1, start, start.Add(50*time.Hour), authority)
		changed()
		Expect(serial()).NotTo(Equal(first))
		at.now = start.Add(2 * time.Hour)
		serial() // the first certificate has expired
	})

	// Guards against serving a half replaced pair, and against giving up on it.
	It("keeps the old certificate until the files fit together", func() {
		first := serial()
		key, err := os.ReadFile(filepath.Join(folder, "key.pem"))
		Expect(err).NotTo(HaveOccurred())
		store(folder, authority, gangnam1, start, start.Add(time.Hour), authority)
		newKey, err := os.ReadFile(filepath.Join(folder, "key.pem"))
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(folder, "key.pem"), key, 0o600)).To(Succeed())
		changed()
		Expect(serial()).To(Equal(first))
		Expect(os.WriteFile(filepath.Join(folder, "key.pem"), newKey, 0o600)).To(Succeed())
		changed()
		Expect(serial()).NotTo(Equal(first))
	})

	DescribeTable("keeps the old certificate when the new files are faulty",
		func(replace func()) {
			first := serial()
			replace()
			changed()
			Expect(serial()).To(Equal(first))
		},
		Entry("another holder's", func() { store(folder, authority, mapo2, start, start.Add(time.Hour), authority) }),
		Entry("expired", func() { store(folder, authority, gangnam1, start.Add(-time.Hour), start, authority) }),
		Entry("of an unknown authority", func() { store(folder, newAuthority(), gangnam1, start, start.Add(time.Hour), authority) }),
		Entry("garbage", func() { Expect(os.WriteFile(filepath.Join(folder, "cert.pem"), []byte("x"), 0o600)).To(Succeed()) }),
		Entry("no authority", func() { Expect(os.WriteFile(filepath.Join(folder, "ca.pem"), nil, 0o600)).To(Succeed()) }),
	)

	It("takes over another authority", func() {
		other := newAuthority()
		otherClient := newSource(other, mapo2, at, other, authority).ClientConfig(tlsconfig.Anyone)
		_, _, serverErr, _ := shake(server, otherClient)
		Expect(errors.As(serverErr, new(*tlsconfig.UntrustedIssuerError))).To(BeTrue(), "%v", serverErr)
		store(folder, authority, gangnam1, start, start.Add(time.Hour), authority, other)
		changed()
		_, _, serverErr, _ = shake(server, otherClient)
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

// The trial files must work with the RPC of the hosts, whose handlers see the caller's identity.
var _ = It("writes trial certificates that RPC works with", func() {
	now := time.Now()
	files, err := tlsconfig.WriteTrialCertificates(GinkgoT().TempDir(), []tlsconfig.Identity{gangnam1, mapo2, operator}, now)
	Expect(err).NotTo(HaveOccurred())
	server := rpc.NewServer(rpc.ServerOptions{TLS: source(files[gangnam1], time.Now).ServerConfig(tlsconfig.Anyone)})
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
		client := rpc.NewClient(rpc.ClientOptions{TLS: source(files[identity], time.Now).ClientConfig(tlsconfig.Only(gangnam1))})
		DeferCleanup(client.Close)
		answer := &schemav1.Entry{}
		Expect(client.Call(context.Background(), listener.Addr().String(), "Test.Who", &schemav1.Entry{}, answer)).To(Succeed())
		Expect(string(answer.Data)).To(Equal(identity.String()))
	}
	wrong := rpc.NewClient(rpc.ClientOptions{TLS: source(files[operator], time.Now).ClientConfig(tlsconfig.Only(mapo2))})
	DeferCleanup(wrong.Close)
	err = wrong.Call(context.Background(), listener.Addr().String(), "Test.Who", &schemav1.Entry{}, &schemav1.Entry{})
	Expect(errors.As(err, new(*rpc.UnavailableError))).To(BeTrue(), "%v", err)
	Expect(errors.As(err, new(*tlsconfig.IdentityError))).To(BeTrue(), "%v", err)
})
