// Package statuscode checks the status codes of HTTP responses, of which the parser of net/http accepts any with three digits.
package statuscode

import (
	"fmt"
	"net/http"
)

// The status codes of final responses (RFC 9110, section 15).
const (
	minFinal = 200
	maxFinal = 599
)

// InvalidError reports a message that is no response in HTTP: its status code is not one of a final response, or it is an interim response
// with content. The server may have run the request.
type InvalidError struct {
	Code int
	// Content is set for an interim response with content.
	Content bool
}

// Error implements error.
func (e *InvalidError) Error() string {
	if e.Content {
		return fmt.Sprintf("interim response %03d has content", e.Code)
	}
	return fmt.Sprintf("status code %03d is not that of a response", e.Code)
}

// IsInterim reports whether a response with a status code may precede the final response. After 101, which no client asks for, another
// protocol would follow.
func IsInterim(code int) bool {
	return code >= http.StatusContinue && code < minFinal && code != http.StatusSwitchingProtocols
}

// CheckFinal returns an *InvalidError unless a status code is that of a final response.
func CheckFinal(code int) error {
	if code < minFinal || code > maxFinal {
		return &InvalidError{Code: code}
	}
	return nil
}

// CheckInterim returns an *InvalidError if an interim response has content. Its content would be read as the next response. transferEncoding
// is what net/http takes out of the header.
func CheckInterim(code int, header http.Header, transferEncoding []string) error {
	if length := header.Get("Content-Length"); len(transferEncoding) > 0 || length != "" && length != "0" {
		return &InvalidError{Code: code, Content: true}
	}
	return nil
}
