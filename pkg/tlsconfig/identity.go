package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"
)

const (
	scheme          = "almondrock"
	hostPathSegment = "host"
	operatorURIHost = "operator"
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Identity names the subject of a certificate: a host in a data centre, or an operator.
type Identity struct {
	// DataCentre is empty for operators.
	DataCentre string
	// Name is the name of the host or operator.
	Name string
}

// IsOperator reports whether the identity belongs to an operator.
func (i Identity) IsOperator() bool { return i.DataCentre == "" }

// URI returns the identity as the URI SAN of a certificate.
func (i Identity) URI() *url.URL {
	if i.IsOperator() {
		return &url.URL{Scheme: scheme, Host: operatorURIHost, Path: "/" + i.Name}
	}
	return &url.URL{Scheme: scheme, Host: i.DataCentre, Path: "/" + hostPathSegment + "/" + i.Name}
}

// String returns the text of URI.
func (i Identity) String() string { return i.URI().String() }

// ParseIdentity parses a URI SAN. The error is an *IdentityError.
func ParseIdentity(uri *url.URL) (Identity, error) {
	segments := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
	identity := Identity{}
	switch {
	case len(segments) == 1 && uri.Host == operatorURIHost:
		identity.Name = segments[0]
	case len(segments) == 2 && segments[0] == hostPathSegment && validName.MatchString(uri.Host):
		identity = Identity{DataCentre: uri.Host, Name: segments[1]}
	}
	// Comparing the text refuses URIs with a port, user or query, and other spellings of the same URI.
	if !validName.MatchString(identity.Name) || identity.String() != uri.String() {
		return Identity{}, wrap(&IdentityError{RejectedIdentity: uri.String(), Reason: "not the URI of a host or an operator"})
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

// PeerIdentity returns the identity of the peer of a connection that uses a configuration of this package, which has
// verified the certificate. Errors: *CertificateError if the peer presented no certificate, *IdentityError.
func PeerIdentity(state *tls.ConnectionState) (Identity, error) {
	if state == nil || !state.HandshakeComplete || len(state.PeerCertificates) == 0 {
		return Identity{}, wrap(&CertificateError{Reason: "no verified certificate"})
	}
	return identityOf(state.PeerCertificates[0])
}

// IdentityCheck decides whether the peer of a connection may have a verified identity. It returns an *IdentityError to
// refuse it.
type IdentityCheck func(Identity) error

// AnyHost accepts all hosts and no operator.
func AnyHost(identity Identity) error {
	if identity.IsOperator() {
		return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "expected a host"})
	}
	return nil
}

// AnyOperator accepts all operators and no host.
func AnyOperator(identity Identity) error {
	if !identity.IsOperator() {
		return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "expected an operator"})
	}
	return nil
}

// Anyone accepts hosts and operators.
func Anyone(Identity) error { return nil }

// Only returns a check that accepts one identity.
func Only(expected Identity) IdentityCheck {
	return func(identity Identity) error {
		if identity != expected {
			return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "expected " + expected.String()})
		}
		return nil
	}
}

// HostsOf returns a check that accepts the hosts of one data centre.
func HostsOf(dataCentre string) IdentityCheck {
	return func(identity Identity) error {
		if identity.IsOperator() || identity.DataCentre != dataCentre {
			return wrap(&IdentityError{RejectedIdentity: identity.String(), Reason: "expected a host of data centre " + dataCentre})
		}
		return nil
	}
}
