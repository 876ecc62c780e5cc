package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// DefaultCheckInterval is the shortest time between two checks whether the files have changed. It limits the cost when
// there are many handshakes.
const DefaultCheckInterval = time.Second

// Files holds the paths of the PEM files of one host or operator.
type Files struct {
	// Certificate is the file with the certificate, followed by intermediate certificates.
	Certificate string
	// Key is the file with the private key of the certificate.
	Key string
	// Authorities is the file with the certificates of all authorities that may have issued peers' certificates. While
	// authorities are rotated, it holds the old and the new one.
	Authorities string
}

// Options configures a Source. Files is required.
type Options struct {
	Files Files
	// Now is the clock for the validity of certificates and for CheckInterval; time.Now by default.
	Now func() time.Time
	// CheckInterval is the shortest time between two checks whether the files have changed; DefaultCheckInterval by
	// default.
	CheckInterval time.Duration
}

// fileStamp is compared to detect a change of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// credentials is the parsed and verified content of the files.
type credentials struct {
	certificate *tls.Certificate
	identity    Identity
	authorities *x509.CertPool
	// stamps belong to the certificate, key and authorities files, in this order.
	stamps [3]fileStamp
}

// Source reads certificates from files and creates TLS configurations that use the current content of the files. It is
// safe for concurrent use.
type Source struct {
	options Options

	mu      sync.Mutex
	current *credentials
	// lastCheck is when the files were last checked for changes.
	lastCheck time.Time
}

// NewSource returns a Source that has read the files. It refuses a certificate that is not valid now, because every peer
// would refuse it. The error is a *FileError, which wraps the error of the verification if that failed.
func NewSource(options Options) (*Source, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.CheckInterval <= 0 {
		options.CheckInterval = DefaultCheckInterval
	}
	source := &Source{options: options, lastCheck: options.Now()}
	current, err := source.load()
	if err != nil {
		return nil, err
	}
	source.current = current
	return source, nil
}

// Identity returns the identity in the current certificate.
func (s *Source) Identity() Identity { return s.currentCredentials().identity }

// ServerConfig returns a configuration for servers that requires a client certificate whose identity passes check.
func (s *Source) ServerConfig(check IdentityCheck) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Time:                   s.options.Now,
		SessionTicketsDisabled: true,
		// VerifyConnection verifies the certificate instead of crypto/tls, so that errors have the types of this package
		// and changes of the authorities take effect.
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.currentCredentials().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth, check)
		},
	}
}

// ServerConfigOptionalCertificate is like ServerConfig, but also accepts clients without a certificate. PeerIdentity
// fails for these, so that the handler can decide what they may do.
func (s *Source) ServerConfigOptionalCertificate(check IdentityCheck) *tls.Config {
	config := s.ServerConfig(check)
	config.ClientAuth = tls.RequestClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return nil
		}
		return s.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth, check)
	}
	return config
}

// ClientConfig returns a configuration for clients that presents the certificate, and accepts servers whose identity
// passes check.
func (s *Source) ClientConfig(check IdentityCheck) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Time:                   s.options.Now,
		SessionTicketsDisabled: true,
		// This turns off the verification by crypto/tls, which needs a host name. VerifyConnection verifies the chain, the
		// key usage and the identity instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.currentCredentials().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, check)
		},
	}
}

func (s *Source) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, check IdentityCheck) error {
	identity, err := verifyChain(chain, usage, s.currentCredentials().authorities, s.options.Now())
	if err != nil {
		return err
	}
	return check(identity)
}

func verifyChain(
	chain []*x509.Certificate, usage x509.ExtKeyUsage, authorities *x509.CertPool, now time.Time,
) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, wrap(&CertificateError{Reason: "the peer presented none"})
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, typedVerifyError(chain[0], now, err)
	}
	return identityOf(chain[0])
}

// currentCredentials returns the credentials in force. At most once per CheckInterval, it checks whether the files have
// changed and reads them again. If the new files can't be used, the old credentials stay in force, and the files are read
// again at the next check.
func (s *Source) currentCredentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.lastCheck) < s.options.CheckInterval {
		return s.current
	}
	s.lastCheck = now
	stamps, err := s.readStamps()
	if err == nil && stamps == s.current.stamps {
		return s.current
	}
	next, err := s.load()
	if err == nil && next.identity != s.current.identity {
		// The identity of a process never changes, so these files belong to another host or operator.
		err = wrap(&IdentityError{RejectedIdentity: next.identity.String(), Reason: "expected " + s.current.identity.String()})
	}
	if err != nil {
		klog.Warningf("tls: changed certificate files are not used: %v", err)
		return s.current
	}
	klog.Infof("tls: using the new certificate of %s, valid until %s", next.identity, formatTime(next.certificate.Leaf.NotAfter))
	s.current = next
	return next
}

func (s *Source) readStamps() (stamps [3]fileStamp, err error) {
	files := s.options.Files
	for i, name := range []string{files.Certificate, files.Key, files.Authorities} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, wrap(&FileError{File: name, Cause: err})
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// load reads and verifies the files. It reads the stamps before the contents, so that the next check detects a change in
// between.
func (s *Source) load() (*credentials, error) {
	stamps, err := s.readStamps()
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
	return &credentials{certificate: &pair, identity: identity, authorities: authorities, stamps: stamps}, nil
}

func parseChain(raw [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, 0, len(raw))
	for _, der := range raw {
		certificate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, wrap(&CertificateError{Reason: "can't be parsed", Cause: err})
		}
		chain = append(chain, certificate)
	}
	return chain, nil
}
