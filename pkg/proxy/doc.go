// Package proxy is the data path: it takes requests of callers and of other hosts, finds the owner of each key, and
// forwards the request to the host that the owner is attached to, and from there to the target. It follows RFC 9110 and
// RFC 9112 for intermediaries, and never delivers a response as complete that is cut off or belongs to another request.
package proxy
