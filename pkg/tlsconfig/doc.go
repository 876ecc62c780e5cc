// Package tlsconfig creates TLS configurations for connections between hosts and from operators to hosts.
//
// Both sides present a certificate (mutual TLS), and only TLS 1.3 is allowed. A certificate contains the identity of its
// subject in exactly one URI SAN: almondrock://DATA_CENTRE/host/NAME or almondrock://operator/NAME. Host names and IP
// addresses in certificates are not checked, because hosts are known by identity and their addresses change.
//
// Certificates, keys and certificate authorities are read from PEM files. The files are read again when they change, so
// that they can be rotated without a restart. Replace each file by renaming a new one over it. Files that do not match
// each other, such as a certificate and the key of another one, are ignored until they do. Session resumption is off, so
// that every connection is verified against the current authorities.
package tlsconfig
