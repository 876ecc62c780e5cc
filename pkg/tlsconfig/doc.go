// Package tlsconfig makes TLS configurations for connections between hosts and from operators.
//
// Both sides present a certificate, and TLS 1.3 is the only version. A certificate states its holder's identity in
// exactly one URI SAN: almondrock://DATA_CENTRE/host/NAME or almondrock://operator/NAME. Host names and addresses in
// certificates are not looked at, because hosts are known by identity and their addresses change.
//
// Certificates, keys and authorities come from PEM files that are read again when they change, so that they can be
// rotated without a restart. Replace the files by renaming; a set of files that does not fit together is ignored until
// it does. Session resumption is off, so that each connection is checked against the present authorities.
package tlsconfig
