// Package upstream is the HTTP/1.1 client for targets. Unlike net/http's transport it opens a connection only for a
// request that needs one, reports whether any byte of a request was written, and accepts a response only if it belongs to
// the request.
package upstream
