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

// Headers of callers and targets.
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
	// headerRefusal marks an answer as a refusal by a host, with its code.
	headerRefusal = "Almondrock-Refusal"
)

// ownPrefix is the prefix of all headers of almondrock.
const ownPrefix = "Almondrock-"

// via names the intermediary (RFC 9110 section 7.6.3); it carries no host name, because that is nobody's business outside.
const via = "1.1 almondrock"

// hopByHop are the fields that concern one connection only (RFC 9110 section 7.6.1 and, for Keep-Alive, RFC 2068).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
}

// nominated returns the fields that the Connection field names; nil in the usual case.
func nominated(header http.Header) map[string]bool {
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

// copyEndToEnd copies the fields that are meant for the other end; those of almondrock are left to the caller of
// copyEndToEnd. Values are shared, not copied.
func copyEndToEnd(to, from http.Header) {
	skip := nominated(from)
	for name, values := range from {
		if hopByHop[name] || skip[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		to[name] = values
	}
}

// checkHeaders refuses oversized header blocks and ambiguous framing. net/http has already refused differing
// Content-Length fields and unknown transfer codings; where both fields are given it drops Content-Length, and the
// request is framed anew on the way out, so nothing ambiguous is passed on (RFC 9112 section 6.1).
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
		// RFC 9110 section 9.3.8: TRACE would show what intermediaries add.
		return apierr.New(apierr.BadRequest, "method %s is not served", r.Method)
	}
	if r.Header.Get("Upgrade") != "" && nominated(r.Header)["Upgrade"] {
		return apierr.New(apierr.BadRequest, "protocol upgrades are not served")
	}
	return nil
}

// outgoing makes the header block that both targets and other hosts get.
func (x *exchange) outgoing() http.Header {
	header := make(http.Header, len(x.r.Header)+8)
	copyEndToEnd(header, x.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
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
		header["Via"] = append(append([]string(nil), x.r.Header["Via"]...), via)
	}
	header[headerRequestID] = []string{x.id}
	header[headerKey] = []string{x.key}
	if x.tenant != "" {
		header[headerTenant] = []string{x.tenant}
	}
	return header
}

// milliseconds formats a time left, rounded down so that the next hop's deadline comes first.
func milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}
