package proxy

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"almondrock.example/almondrock/pkg/apierr"
	"almondrock.example/almondrock/pkg/target"
)

// Headers exchanged with callers and targets.
const (
	headerRequestID   = target.HeaderRequestID
	headerKey         = target.HeaderKey
	headerTenant      = target.HeaderTenant
	headerDeadlineMs  = target.HeaderDeadlineMs
	headerTarget      = "Almondrock-Target"
	headerIdempotency = "Idempotency-Key"
)

// Headers between hosts. Callers and targets cannot set them.
const (
	// headerHops counts the hosts that have forwarded the request.
	headerHops = "Almondrock-Hops"
	// headerFrom is the data centre of the host that forwards.
	headerFrom = "Almondrock-From"
	// headerRefusal marks a response as a refusal by a host; its value is the refusal code.
	headerRefusal = "Almondrock-Refusal"
)

// headerPrefix is the prefix of the header fields that almondrock defines.
const headerPrefix = "Almondrock-"

// viaValue identifies the intermediary (RFC 9110 section 7.6.3) without a host name, so that host names stay internal.
const viaValue = "1.1 almondrock"

// hopByHopHeaders apply to one connection only (RFC 9110 section 7.6.1 and, for Keep-Alive, RFC 2068).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// connectionOptions returns the names of the fields that the Connection field lists; nil without a Connection field.
func connectionOptions(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	return names
}

// copyEndToEndHeaders copies the end-to-end fields, without those with headerPrefix, which are set explicitly. The copies
// share their value slices.
func copyEndToEndHeaders(to, from http.Header) {
	skip := connectionOptions(from)
	for name, values := range from {
		if hopByHopHeaders[name] || skip[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
}

// checkHeaders refuses oversized header blocks, ambiguous framing, and unsupported methods and upgrades. net/http has
// already refused differing Content-Length fields and unknown transfer codings; where both fields are given it drops
// Content-Length, and the outgoing request is framed anew, so nothing ambiguous is forwarded (RFC 9112 section 6.1).
func checkHeaders(r *http.Request) error {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	if size > MaxHeaderBytes {
		return apierr.New(apierr.HeaderTooLarge, "the header block is over %d bytes", MaxHeaderBytes)
	}
	if len(r.TransferEncoding) > 1 || (len(r.TransferEncoding) == 1 && r.TransferEncoding[0] != "chunked") {
		return apierr.New(apierr.BadRequest, "transfer coding is not chunked")
	}
	if len(r.TransferEncoding) > 0 && (len(r.Header["Content-Length"]) > 0 || r.ProtoMajor == 1 && r.ProtoMinor == 0) {
		return apierr.New(apierr.BadRequest, "ambiguous framing")
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		// TRACE would show the fields that intermediaries add (RFC 9110 section 9.3.8).
		return apierr.New(apierr.BadRequest, "method %s is not served", r.Method)
	}
	if r.Header.Get("Upgrade") != "" && connectionOptions(r.Header)["Upgrade"] {
		return apierr.New(apierr.BadRequest, "protocol upgrades are not served")
	}
	return nil
}

// outgoingHeader builds the header fields that targets and other hosts have in common.
func (x *exchange) outgoingHeader() http.Header {
	header := make(http.Header, len(x.r.Header)+8)
	copyEndToEndHeaders(header, x.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An explicit nil keeps net/http from adding its own User-Agent.
		header["User-Agent"] = nil
	}
	for _, value := range x.r.Header["Te"] {
		if strings.Contains(value, "trailers") {
			header["Te"] = []string{"trailers"}
		}
	}
	if x.forwarded {
		header["Via"] = x.r.Header["Via"]
	} else {
		header["Via"] = append(append([]string(nil), x.r.Header["Via"]...), viaValue)
	}
	header[headerRequestID] = []string{x.id}
	header[headerKey] = []string{x.key}
	if x.tenant != "" {
		header[headerTenant] = []string{x.tenant}
	}
	return header
}

// formatMilliseconds formats the time left, rounded down so that the deadline of the next hop is not later than this one's.
func formatMilliseconds(timeLeft time.Duration) string {
	return strconv.FormatInt(max(0, timeLeft.Milliseconds()), 10)
}
