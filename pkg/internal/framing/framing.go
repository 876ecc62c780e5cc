// Package framing tells how the end of an HTTP response is marked.
package framing

import "net/http"

// EndsWithConnection reports whether the end of the connection is the only mark of the end of the body of a response (RFC 9112, section 6.3). A
// body that is cut off then looks complete, unless the connection reports an error.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
