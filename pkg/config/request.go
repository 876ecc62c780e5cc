package config

import (
	"net/http"
	"strings"
)

// cleanPrefix removes trailing slashes from a path prefix: /a/ and /a are the same prefix, and / is the empty prefix.
func cleanPrefix(prefix string) string { return strings.TrimRight(prefix, "/") }

// invalidPathReason returns why a path is refused, or "" if it is valid. It refuses dot segments, empty segments and
// backslashes, because targets may interpret them differently than the router. The request could then reach a route with
// other home regions than those that the key was routed by, which violates invariant I5.
func invalidPathReason(path string) string {
	if path == "" || path[0] != '/' {
		return "does not start with /"
	}
	for i := 0; i < len(path); i++ {
		if path[i] < 0x20 || path[i] == 0x7f || path[i] == '\\' {
			return "has a control character or backslash"
		}
		if path[i] == '/' && i+1 < len(path) {
			if fault := invalidSegmentReason(path[i+1:]); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// invalidSegmentReason returns why the path segment at the start of rest is refused, or "".
func invalidSegmentReason(rest string) string {
	switch {
	case rest[0] == '/':
		return "has an empty segment"
	case rest == "." || strings.HasPrefix(rest, "./") || rest == ".." || strings.HasPrefix(rest, "../"):
		return "has a dot segment"
	default:
		return ""
	}
}

// isMethodToken reports whether method is a token as defined by RFC 9110 section 5.6.2.
func isMethodToken(method string) bool {
	for i := range len(method) {
		c := method[i]
		isAlphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return method != ""
}

// isUnsupportedMethod reports whether method is CONNECT or TRACE, which ask a proxy for something other than forwarding
// the request.
func isUnsupportedMethod(method string) bool {
	return method == http.MethodConnect || method == http.MethodTrace
}

// isSafeMethod reports whether requests with the method are read-only (RFC 9110 section 9.2.1).
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isIdempotentMethod reports whether method is idempotent by RFC 9110 section 9.2.2.
func isIdempotentMethod(method string) bool {
	return isSafeMethod(method) || method == http.MethodPut || method == http.MethodDelete
}
