// Package rpc carries protobuf messages between the tier's processes: framed requests and replies over TCP, with
// many concurrent calls on one connection.
//
// # Frames
//
// Both directions of a connection are sequences of frames. Numbers are big endian:
//
//	bytes 0-3  length of the rest of the frame, at least 5 and at most 64 MiB
//	byte  4    kind: the Method in a request; the Method with the high bit set in its reply; 0xff in a failure
//	bytes 5-8  call id, chosen by the client; a reply repeats the call id of its request
//	bytes 9-   the encoded message; empty in a failure
//
// Replies may arrive in any order. Call ids are scoped to a connection. A connection is closed when its peer violates the
// protocol: with a length out of bounds, or with a reply whose method differs from that of its request.
//
// # Clients
//
// A Client has one connection to each address, opened by the first call and closed when unused for idleTimeout. Bulk
// transfers use a second connection, so that they do not delay small calls. Every call is bounded by its context. The
// client never resends a request; whether to retry is the caller's decision. After ErrUnreachable or ErrTimeout the peer
// may have executed the request.
//
// # Detection of dead connections
//
// A peer that lost power or is behind a network partition does not close its connections. A connection is therefore closed
//
//   - by the client, when calls have received no reply for unresponsiveTimeout,
//   - by the kernel, when sent bytes stay unacknowledged for tcpUserTimeout, or keep-alive probes are not answered,
//   - by either side, when the peer reads so slowly that a frame cannot be written within writeTimeout.
//
// # Servers
//
// A Server runs each request in its own goroutine, at most maxConcurrentCalls for each connection. Requests beyond that
// limit are not read from the connection, which delays only the client that sent them.
package rpc
