// Package rpc carries protobuf messages between hosts over net/rpc.
//
// A connection is a sequence of frames in each direction. A frame is a varint length and that many bytes, as protodelim
// writes them. Each request and each response is two frames: a schemav1.RpcHeader and the body message. A response with
// an error has an empty body.
//
// net/rpc finds handlers by reflection on exported methods, which protobuf handlers registered at run time do not have.
// The server therefore registers one receiver with net/rpc and keeps its own table of methods; the codec names that
// receiver to net/rpc and passes the real method in the decoded request. net/rpc keeps the sequence numbers, the
// concurrent dispatch and the order of writes.
//
// Every call has a deadline. The time left is sent in the header and becomes the deadline of the handler's context.
// Transit time is not subtracted, so a handler may run past its caller's deadline by the time of one message.
package rpc
