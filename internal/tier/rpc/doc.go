// Package rpc carries protobuf messages between the tier's processes: framed requests and replies over TCP, many calls at
// once on one connection.
//
// # Frames
//
// Both directions of a connection are sequences of frames. Numbers are big endian:
//
//	bytes 0-3  length of the rest of the frame, at least 5 and at most 64 MiB
//	byte  4    kind: the Method in a request; the Method with the high bit set in its reply; 0xff in a failure
//	bytes 5-8  call id, chosen by the client; a reply carries that of its request
//	bytes 9-   the encoded message; empty in a failure
//
// Replies come in any order. Call ids begin anew with each connection. A peer that sends a length out of bounds, or a
// reply of another method than its request, does not follow the protocol, and its connection is closed.
//
// # Clients
//
// A Client has one connection to each address, opened by the first call and closed when unused for idleTimeout, and
// another one for bulk transfers, so that they do not hold up small calls. Every call is bounded by its context. A call
// that is sent is never sent again; whether to retry is the caller's decision. After ErrUnreachable or ErrTimeout
// the peer may have executed the request.
//
// # Detection of dead connections
//
// A peer that lost power or is behind a partition closes nothing. A connection is therefore closed
//
//   - when calls have gone without any reply for unresponsiveTimeout (client),
//   - when sent bytes are not acknowledged for userTimeout, or keep-alive probes are not answered (kernel),
//   - when the peer reads too little for a frame to be written within writeTimeout.
//
// # Servers
//
// A Server runs each request in a goroutine of its own, at most maxConcurrentCalls for a connection; further requests
// stay unread, which holds up that client alone.
package rpc
