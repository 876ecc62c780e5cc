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

// TrialCertificateValidity is how long the certificates of WriteTrial are valid.
const TrialCertificateValidity = 7 * 24 * time.Hour

// serialBits is the size of random serial numbers; RFC 5280 section 4.1.2.2 allows up to 20 octets.
const serialBits = 128

// Modes of the files of WriteTrial.
const (
	folderMode = 0o700
	keyMode    = 0o600
)

// Authority issues certificates for trying out and for tests. Its key exists in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// KeyPair is a certificate with its key, both in PEM.
type KeyPair struct {
	Certificate, Key []byte
}

// NewAuthority makes an authority whose certificate is valid from notBefore to notAfter.
func NewAuthority(name string, notBefore, notAfter time.Time) (*Authority, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             notBefore,
		NotAfter:              notAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, der, err := sign(template, nil)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, wrap(&CertificateError{Subject: name, Reason: "not decodable", Cause: err})
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// PEM is the authority's certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Issue makes a certificate for identity. Hosts may be client and server, operators only client.
func (a *Authority) Issue(identity Identity, notBefore, notAfter time.Time) (KeyPair, error) {
	if _, err := ParseIdentity(identity.URI()); err != nil {
		return KeyPair{}, err
	}
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if !identity.IsOperator() {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	key, der, err := sign(&x509.Certificate{
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
		return KeyPair{}, wrap(&CertificateError{Subject: identity.String(), Reason: "encode key", Cause: err})
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}),
	}, nil
}

// sign makes a key and a certificate for it, signed by issuer or, without one, by itself.
func sign(template *x509.Certificate, issuer *Authority) (*ecdsa.PrivateKey, []byte, error) {
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

// WriteTrialCertificates makes a throwaway authority and certificates for identities, and writes them to folder for trying out. It
// returns the files of each identity. The certificates are valid for TrialValidity from now; the authority's key is not
// written, so that nobody can issue more. Errors: *FileError, *IdentityError, *CertificateError.
func WriteTrialCertificates(folder string, identities []Identity, now time.Time) (map[Identity]Files, error) {
	until := now.Add(TrialCertificateValidity)
	authority, err := NewAuthority("almondrock trial authority", now, until)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, wrap(&FileError{File: folder, Cause: err})
	}
	authorities := filepath.Join(folder, "authorities.pem")
	if err := writeFile(authorities, authority.PEM()); err != nil {
		return nil, err
	}
	written := map[Identity]Files{}
	for _, identity := range identities {
		issued, err := authority.Issue(identity, now, until)
		if err != nil {
			return nil, err
		}
		files := filesOf(folder, identity)
		files.Authorities = authorities
		if err := issued.write(files); err != nil {
			return nil, err
		}
		written[identity] = files
	}
	return written, nil
}

// filesOf names files after the identity's URI. Names of identities have no "+", so the file names differ as the URIs do.
func filesOf(folder string, identity Identity) Files {
	base := strings.ReplaceAll(strings.TrimPrefix(identity.String(), scheme+"://"), "/", "+")
	return Files{
		Certificate: filepath.Join(folder, base+".pem"),
		Key:         filepath.Join(folder, base+".key"),
	}
}

// write stores the key first, so that a reader that finds the new certificate finds its key.
func (i KeyPair) write(files Files) error {
	if err := writeFile(files.Key, i.Key); err != nil {
		return err
	}
	return writeFile(files.Certificate, i.Certificate)
}

// writeFile replaces name by renaming, so that nobody reads a part of it.
func writeFile(name string, data []byte) error {
	temporary := name + ".tmp"
	if err := os.WriteFile(temporary, data, keyMode); err != nil {
		return wrap(&FileError{File: temporary, Cause: err})
	}
	if err := os.Rename(temporary, name); err != nil {
		return wrap(&FileError{File: name, Cause: err})
	}
	return nil
}
