package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// DefaultCheckInterval is the least time between two looks at the files. It bounds the cost of a storm of handshakes.
const DefaultCheckInterval = time.Second

// Files are the PEM files of one holder.
type Files struct {
	// Certificate holds the holder's certificate, followed by intermediate ones.
	Certificate string
	Key         string
	// Authorities holds the certificates of all authorities that peers may be issued by. During a change of authority
	// it holds the old and the new one.
	Authorities string
}

// Options configures a Source. Zero fields take the defaults.
type Options struct {
	Files Files
	// Now is the clock by which certificates are valid and files are looked at; time.Now by default.
	Now           func() time.Time
	CheckInterval time.Duration
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// material is what one reading of the files gave.
type material struct {
	certificate *tls.Certificate
	identity    Identity
	authorities *x509.CertPool
	stamps      [3]stamp
}

// Source reads certificates from files and makes configurations that follow changes of the files. It is safe for
// concurrent use.
type Source struct {
	options Options

	mu      sync.Mutex
	current *material
	checked time.Time
}

// NewSource reads the files. It refuses a certificate that is not valid now, because every peer would. Errors:
// *FileError and the errors of verification.
func NewSource(options Options) (*Source, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.CheckInterval <= 0 {
		options.CheckInterval = DefaultCheckInterval
	}
	source := &Source{options: options, checked: options.Now()}
	current, err := source.read()
	if err != nil {
		return nil, err
	}
	source.current = current
	return source, nil
}

// Identity returns the identity in the present certificate.
func (s *Source) Identity() Identity { return s.latest().identity }

// ServerConfig returns a configuration that demands a client certificate and accepts the given identities.
func (s *Source) ServerConfig(accept IdentityCheck) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Time:                   s.options.Now,
		SessionTicketsDisabled: true,
		// VerifyConnection verifies, so that errors have types and the authorities can change.
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.latest().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth, accept)
		},
	}
}

// ServerConfigOptionalCertificate is Server, but clients may present no certificate. PeerIdentity fails for them, so the handler decides
// what they may do.
func (s *Source) ServerConfigOptionalCertificate(accept IdentityCheck) *tls.Config {
	config := s.ServerConfig(accept)
	config.ClientAuth = tls.RequestClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return nil
		}
		return s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth, accept)
	}
	return config
}

// ClientConfig returns a configuration that presents the certificate and accepts the given identities as servers.
func (s *Source) ClientConfig(accept IdentityCheck) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Time:                   s.options.Now,
		SessionTicketsDisabled: true,
		// Only the check against the host name is replaced: VerifyConnection verifies chain, usage and identity.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.latest().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, accept)
		},
	}
}

func (s *Source) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, accept IdentityCheck) error {
	identity, err := verifyChain(chain, usage, s.latest().authorities, s.options.Now())
	if err != nil {
		return err
	}
	return accept(identity)
}

func verifyChain(
	chain []*x509.Certificate, usage x509.ExtKeyUsage, authorities *x509.CertPool, now time.Time,
) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, wrap(&CertificateError{Reason: "none presented"})
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, verifyError(chain[0], now, err)
	}
	return identityOf(chain[0])
}

// latest returns the present material. It reads the files again when they have changed. Files that can't be used leave
// the present material in force and are tried again at the next look.
func (s *Source) latest() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.checked) < s.options.CheckInterval {
		return s.current
	}
	s.checked = now
	stamps, err := s.stamps()
	if err == nil && stamps == s.current.stamps {
		return s.current
	}
	next, err := s.read()
	if err == nil && next.identity != s.current.identity {
		// A process keeps its identity; these are another holder's files.
		err = wrap(&IdentityError{RejectedIdentity: next.identity.String(), Reason: "want " + s.current.identity.String()})
	}
	if err != nil {
		klog.Warningf("tls: changed files not taken over: %v", err)
		return s.current
	}
	klog.Infof("tls: certificate of %s taken over, valid until %s", next.identity, formatTime(next.certificate.Leaf.NotAfter))
	s.current = next
	return next
}

func (s *Source) stamps() (stamps [3]stamp, err error) {
	files := s.options.Files
	for i, name := range []string{files.Certificate, files.Key, files.Authorities} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, wrap(&FileError{File: name, Cause: err})
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// read takes the stamps before the contents, so that a change in between is seen at the next look.
func (s *Source) read() (*material, error) {
	stamps, err := s.stamps()
	if err != nil {
		return nil, err
	}
	files := s.options.Files
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, wrap(&FileError{File: files.Certificate, Cause: err})
	}
	pem, err := os.ReadFile(files.Authorities)
	if err != nil {
		return nil, wrap(&FileError{File: files.Authorities, Cause: err})
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, wrap(&FileError{File: files.Authorities, Cause: &CertificateError{Reason: "no certificate in PEM"}})
	}
	chain, err := parseChain(pair.Certificate)
	if err != nil {
		return nil, wrap(&FileError{File: files.Certificate, Cause: err})
	}
	identity, err := verifyChain(chain, x509.ExtKeyUsageClientAuth, authorities, s.options.Now())
	if err != nil {
		return nil, wrap(&FileError{File: files.Certificate, Cause: err})
	}
	pair.Leaf = chain[0]
	return &material{certificate: &pair, identity: identity, authorities: authorities, stamps: stamps}, nil
}

func parseChain(raw [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, 0, len(raw))
	for _, der := range raw {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, wrap(&CertificateError{Reason: "not decodable", Cause: err})
		}
		chain = append(chain, certificate)
	}
	return chain, nil
}
