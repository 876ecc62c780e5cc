package config

import (
	"net/http"
	"strings"
)

// cleanPrefix removes trailing slashes: /a/ and /a are the same prefix, and / is the empty one.
func cleanPrefix(prefix string) string { return strings.TrimRight(prefix, "/") }

// invalidPathReason tells why a path is refused, or "". A path that a target may read differently than the router, because of
// dot segments or empty segments, could reach a route whose home regions don't hold for the key (I5).
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

// invalidSegmentReason checks the segment at the start of rest.
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

// isMethodToken follows the token rule of RFC 9110 section 5.6.2.
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

// isUnsupportedMethod holds for methods that ask a proxy for something other than to pass the request on.
func isUnsupportedMethod(method string) bool {
	return method == http.MethodConnect || method == http.MethodTrace
}

// isSafeMethod holds for requests that change nothing (RFC 9110 section 9.2.1).
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isIdempotentMethod follows RFC 9110 section 9.2.2.
func isIdempotentMethod(method string) bool {
	return isSafeMethod(method) || method == http.MethodPut || method == http.MethodDelete
}
