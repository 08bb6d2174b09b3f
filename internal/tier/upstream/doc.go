// Package upstream sends requests to stores over HTTP/1.1, with its own connection pools. It differs from net/http.Transport
// in what its callers need to decide on retries:
//
//   - A request is never sent twice: net/http resends some requests when a kept connection turns out to be closed.
//   - Each failure says whether the store may have received any of the request (SendError.Sent).
//   - A response that may belong to another request is refused (ErrMismatched), and so is one whose head holds a second
//     status line, which is the rest of an interrupted response followed by another one.
//   - A response without a length that the end of its connection delimits counts as complete only after an orderly end
//     (RFC 9112, section 6.3).
//   - A store behind a network partition is found within two seconds by TCP_USER_TIMEOUT and keep-alive probes (dial.go).
//
// # Usage
//
//	response, err := transport.Send(ctx, store, limit, request)
//	if err != nil {
//		// always a *SendError
//	}
//	defer response.Abort() // does nothing after Finish
//	// read the body until io.EOF
//	response.Finish() // keeps the connection
//
// Transport.Retain is called with each change of the stores, so that no idle connections to former stores stay open.
//
// # Idle connections
//
// A store may close an idle connection, or vanish, without the proxy learning of it. The next request on that connection is
// reset, and nobody can tell whether it was executed. idle.go says which connections are kept for how long, and which
// requests keep away from connections that have been idle for long.
package upstream
