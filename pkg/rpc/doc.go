// Package rpc implements remote procedure calls between hosts, with protobuf messages over net/rpc.
//
// A connection carries a sequence of frames in each direction. A frame is a varint length followed by that many bytes, as
// written by protodelim. Each request and each response consists of two frames: a schemav1.RpcHeader and the body message.
// A response with an error has an empty body.
//
// net/rpc finds handlers by reflection on exported methods, which handlers registered at run time do not have. The server
// therefore registers a single receiver with net/rpc and keeps its own table of methods. For each request, the codec gives
// net/rpc the name of that receiver's method and passes the requested method in the decoded request. net/rpc provides
// sequence numbers, concurrent dispatch and the serialisation of writes.
//
// Every call has a deadline. The time left until then is sent in the header and limits the handler's context. The transit
// time of the request is not subtracted, so a handler may exceed its caller's deadline by that time.
package rpc
