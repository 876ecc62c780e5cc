package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"
)

const (
	scheme        = "almondrock"
	hostSegment   = "host"
	operatorLabel = "operator"
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Identity is the holder of a certificate.
type Identity struct {
	// DataCentre is empty for operators.
	DataCentre string
	Name       string
}

// IsOperator reports whether the identity is an operator's.
func (i Identity) IsOperator() bool { return i.DataCentre == "" }

// URI is the URI SAN of the identity.
func (i Identity) URI() *url.URL {
	if i.IsOperator() {
		return &url.URL{Scheme: scheme, Host: operatorLabel, Path: "/" + i.Name}
	}
	return &url.URL{Scheme: scheme, Host: i.DataCentre, Path: "/" + hostSegment + "/" + i.Name}
}

// String is the text of URL.
func (i Identity) String() string { return i.URI().String() }

// ParseIdentity reads a URI SAN. The error is *IdentityError.
func ParseIdentity(uri *url.URL) (Identity, error) {
	segments := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
	identity := Identity{}
	switch {
	case len(segments) == 1 && uri.Host == operatorLabel:
		identity.Name = segments[0]
	case len(segments) == 2 && segments[0] == hostSegment && validName.MatchString(uri.Host):
		identity = Identity{DataCentre: uri.Host, Name: segments[1]}
	}
	// The comparison refuses ports, users, queries and other spellings.
	if !validName.MatchString(identity.Name) || identity.String() != uri.String() {
		return Identity{}, wrap(&IdentityError{RejectedIdentity: uri.String(), Reason: "not a host's or operator's URI"})
	}
	return identity, nil
}

// identityOf returns the identity in a certificate.
func identityOf(certificate *x509.Certificate) (Identity, error) {
	if len(certificate.URIs) != 1 {
		return Identity{}, wrap(&IdentityError{
			RejectedIdentity: certificate.Subject.String(), Reason: "the certificate does not have exactly one URI SAN",
		})
	}
	return ParseIdentity(certificate.URIs[0])
}

// PeerIdentity returns the identity of the other end of a connection that a configuration of this package has verified.
// Errors: *CertificateError without a certificate, *IdentityError.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || !state.HandshakeComplete || len(state.PeerCertificates) == 0 {
		return Identity{}, wrap(&CertificateError{Reason: "no verified certificate"})
	}
	return identityOf(state.PeerCertificates[0])
}

// IdentityCheck decides whether a verified identity may be at the other end; it returns *IdentityError when not.
type IdentityCheck func(Identity) error

// AnyHost accepts all hosts and no operator.
func AnyHost(identity Identity) error {
	if identity.IsOperator() {
		return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "want a host"})
	}
	return nil
}

// AnyOperator accepts all operators and no host.
func AnyOperator(identity Identity) error {
	if !identity.IsOperator() {
		return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "want an operator"})
	}
	return nil
}

// Anyone accepts hosts and operators.
func Anyone(Identity) error { return nil }

// Only accepts one identity.
func Only(want Identity) IdentityCheck {
	return func(identity Identity) error {
		if identity != want {
			return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "want " + want.String()})
		}
		return nil
	}
}

// HostsOf accepts the hosts of one data centre.
func HostsOf(dataCentre string) IdentityCheck {
	return func(identity Identity) error {
		if identity.IsOperator() || identity.DataCentre != dataCentre {
			return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "want a host of " + dataCentre})
		}
		return nil
	}
}
