package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// TrialCertificateValidity is how long the certificates of WriteTrialCertificates are valid.
const TrialCertificateValidity = 7 * 24 * time.Hour

// serialBits is the size of random serial numbers; RFC 5280 section 4.1.2.2 allows up to 20 octets.
const serialBits = 128

// Modes of the directory and the files that WriteTrialCertificates creates.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// Authority is a certificate authority for trials and tests. Its private key exists in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// KeyPair holds a certificate and its private key, both in PEM.
type KeyPair struct {
	Certificate, Key []byte
}

// NewAuthority creates an authority with a self-signed certificate that is valid from notBefore to notAfter. The error is
// a *CertificateError.
func NewAuthority(name string, notBefore, notAfter time.Time) (*Authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             notBefore,
		NotAfter:              notAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, der, err := createCertificate(template, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, wrap(&CertificateError{Subject: name, Reason: "can't be parsed", Cause: err})
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Issue creates a key and a certificate for identity that is valid from notBefore to notAfter. Hosts can use it as client
// and server, operators only as client. Errors: *IdentityError, *CertificateError.
func (a *Authority) Issue(identity Identity, notBefore, notAfter time.Time) (KeyPair, error) {
	if _, err := ParseIdentity(identity.URI()); err != nil {
		return KeyPair{}, err
	}
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if !identity.IsOperator() {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	key, der, err := createCertificate(&x509.Certificate{
		Subject:     pkix.Name{CommonName: identity.Name},
		NotBefore:   notBefore,
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: usages,
		URIs:        []*url.URL{identity.URI()},
	}, a)
	if err != nil {
		return KeyPair{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, wrap(&CertificateError{Subject: identity.String(), Reason: "the key can't be encoded", Cause: err})
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}),
	}, nil
}

// createCertificate creates a key and a certificate for it. The certificate is signed by issuer, or self-signed if issuer
// is nil.
func createCertificate(template *x509.Certificate, issuer *Authority) (*ecdsa.PrivateKey, []byte, error) {
	failed := func(err error) error {
		return wrap(&CertificateError{Subject: template.Subject.String(), Reason: "make", Cause: err})
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, failed(err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, failed(err)
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.certificate, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, failed(err)
	}
	return key, der, nil
}

// WriteTrialCertificates creates an authority and a certificate for each identity, writes them to the directory dir, which
// it creates if it is missing, and returns the files of each identity. They are meant for trials: the certificates are
// valid for TrialCertificateValidity from now, and the key of the authority is not written, so that nobody can issue more
// certificates. Errors: *FileError, *IdentityError, *CertificateError.
func WriteTrialCertificates(dir string, identities []Identity, now time.Time) (map[Identity]Files, error) {
	until := now.Add(TrialCertificateValidity)
	authority, err := NewAuthority("almondrock trial authority", now, until)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, wrap(&FileError{File: dir, Cause: err})
	}
	authorities := filepath.Join(dir, "authorities.pem")
	if err := writeFile(authorities, authority.PEM()); err != nil {
		return nil, err
	}
	written := map[Identity]Files{}
	for _, identity := range identities {
		issued, err := authority.Issue(identity, now, until)
		if err != nil {
			return nil, err
		}
		files := trialFiles(dir, identity)
		files.Authorities = authorities
		if err := issued.writeFiles(files); err != nil {
			return nil, err
		}
		written[identity] = files
	}
	return written, nil
}

// trialFiles returns the names of the files of identity. They consist of the parts of the identity's URI, joined by "+".
// Names in identities can't contain "+", so different identities get different files.
func trialFiles(dir string, identity Identity) Files {
	base := strings.ReplaceAll(strings.TrimPrefix(identity.String(), scheme+"://"), "/", "+")
	return Files{
		Certificate: filepath.Join(dir, base+".pem"),
		Key:         filepath.Join(dir, base+".key"),
	}
}

// writeFiles writes the key before the certificate, so that a reader that finds the new certificate also finds its key.
func (i KeyPair) writeFiles(files Files) error {
	if err := writeFile(files.Key, i.Key); err != nil {
		return err
	}
	return writeFile(files.Certificate, i.Certificate)
}

// writeFile writes to a temporary file and renames it to name, so that readers never see a partly written file.
func writeFile(name string, data []byte) error {
	temporary := name + ".tmp"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return wrap(&FileError{File: temporary, Cause: err})
	}
	if err := os.Rename(temporary, name); err != nil {
		return wrap(&FileError{File: name, Cause: err})
	}
	return nil
}
