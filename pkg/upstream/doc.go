// Package upstream is the HTTP/1.1 client for targets. Unlike net/http's transport it opens a connection only for a
// request that needs one, reports whether any byte of a request was written, and takes an answer only for the request
// that it belongs to.
package upstream
