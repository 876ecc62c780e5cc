// Package proxy is the data path: it takes requests of callers and of other hosts, finds the owner of each key, and
// carries the request to the owner's attached host and from there to the target. It follows RFC 9110 and RFC 9112 for
// what an intermediary must do, and it never passes on an answer that is incomplete or belongs to another request.
package proxy
