package tlsconfig

import (
	"crypto/x509"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// ExpiredError reports a certificate whose validity has ended.
type ExpiredError struct {
	Subject       string
	NotAfter, Now time.Time
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("certificate of %s expired at %s, now is %s", e.Subject, formatTime(e.NotAfter), formatTime(e.Now))
}

// NotYetValidError reports a certificate whose validity has not begun.
type NotYetValidError struct {
	Subject        string
	NotBefore, Now time.Time
}

func (e *NotYetValidError) Error() string {
	return fmt.Sprintf("certificate of %s is valid from %s, now is %s", e.Subject, formatTime(e.NotBefore), formatTime(e.Now))
}

// UntrustedIssuerError reports a certificate that none of the authorities has issued.
type UntrustedIssuerError struct {
	Subject, Issuer string
	Cause           error
}

func (e *UntrustedIssuerError) Error() string {
	return fmt.Sprintf("certificate of %s from unknown authority %s: %v", e.Subject, e.Issuer, e.Cause)
}

// Unwrap returns the cause.
func (e *UntrustedIssuerError) Unwrap() error { return e.Cause }

// IdentityError reports an identity that is malformed or not accepted.
type IdentityError struct {
	RejectedIdentity, Reason string
}

func (e *IdentityError) Error() string {
	return fmt.Sprintf("identity %s: %s", e.RejectedIdentity, e.Reason)
}

// CertificateError reports any other fault of a certificate, for example a wrong usage.
type CertificateError struct {
	Subject, Reason string
	Cause           error
}

func (e *CertificateError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("certificate of %q: %s", e.Subject, e.Reason)
	}
	return fmt.Sprintf("certificate of %q: %s: %v", e.Subject, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Cause }

// FileError reports a file that can't be read, written or decoded.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

func wrap(err error) error { return merry.WrapSkipping(err, 1) }

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// verifyError gives the error of x509's verification its type.
func verifyError(leaf *x509.Certificate, now time.Time, err error) error {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired && now.Before(invalid.Cert.NotBefore):
		return wrap(&NotYetValidError{Subject: subject(invalid.Cert), NotBefore: invalid.Cert.NotBefore, Now: now})
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return wrap(&ExpiredError{Subject: subject(invalid.Cert), NotAfter: invalid.Cert.NotAfter, Now: now})
	case errors.As(err, &unknown):
		return wrap(&UntrustedIssuerError{Subject: subject(leaf), Issuer: leaf.Issuer.String(), Cause: err})
	}
	return wrap(&CertificateError{Subject: subject(leaf), Reason: "verification", Cause: err})
}

// subject names a certificate's holder by its URI where it has one.
func subject(certificate *x509.Certificate) string {
	if len(certificate.URIs) > 0 {
		return certificate.URIs[0].String()
	}
	return certificate.Subject.String()
}
