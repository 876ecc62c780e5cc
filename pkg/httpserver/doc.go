// Package httpserver serves HTTP/1.1 to callers. Unlike net/http, it handles pipelined requests of safe methods at the same time,
// notices that a caller has left while further requests of its connection are waiting, and never closes a connection from which it
// has read a part of a request without responding to that request.
package httpserver
