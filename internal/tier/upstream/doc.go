// Package upstream sends requests to stores over HTTP/1.1, with its own connection pools. It differs from net/http.Transport
// in ways that let its callers decide whether to retry:
//
//   - A request is never sent twice. (net/http resends some requests when a kept-alive connection turns out to be closed.)
//   - Each failure says whether the store may have received a part of the request (SendError.Sent).
//   - A response that may belong to another request is rejected (ErrMismatched). So is a response whose head contains a second
//     status line: it consists of the beginning of an interrupted response and of another response.
//   - A response that is delimited by the end of its connection counts as complete only if the connection was closed in an
//     orderly way (RFC 9112, section 6.3).
//   - A store behind a network partition is detected within two seconds by TCP_USER_TIMEOUT and keep-alive probes (dial.go).
//
// # Usage
//
//	response, err := transport.Send(ctx, store, limit, request)
//	if err != nil {
//		// always a *SendError
//	}
//	defer response.Abort() // does nothing after Finish
//	// read the body until io.EOF
//	response.Finish() // keeps the connection for reuse
//
// Callers call Transport.Retain whenever the stores change, so that no idle connections to former stores stay open.
//
// # Idle connections
//
// A store may close an idle connection, or fail, without the proxy noticing. The next request on that connection is then
// reset, and the proxy cannot tell whether it was executed. idle.go determines how long idle connections are kept, and which
// requests avoid connections that have been idle for long.
package upstream
