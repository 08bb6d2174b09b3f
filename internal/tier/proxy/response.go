package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// responseBufferBytes is how much of a response that is not a stream is read before any of it is forwarded. If the
// response is truncated within these bytes, the request can still be retried at another store.
const responseBufferBytes = 64 << 10

// initialResponseBufferBytes is the size of a new buffer in responseBuffers; buffers grow as needed.
const initialResponseBufferBytes = 4 << 10

var responseBuffers = sync.Pool{New: func() any { buffer := make([]byte, initialResponseBufferBytes); return &buffer }}

// putResponseBuffer returns a buffer to the pool unless it has grown beyond maxPooledBytes.
func putResponseBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBytes {
		responseBuffers.Put(buffer)
	}
}

// forwardResponse forwards a response that is not a stream.
func (x *exchange) forwardResponse(ctx context.Context, grant *admission.Grant, response *upstream.Response) attemptOutcome {
	buffer := responseBuffers.Get().(*[]byte)
	defer putResponseBuffer(buffer)
	read, err := readUpTo(response, buffer, responseBufferBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		x.lastErr = err
		response.Abort()
		grant.Finish(outcomeOfTruncation(ctx))
		return x.retryOrAbort()
	}
	if response.StatusCode >= 500 && err != nil && x.serverErrorRetryable(ctx) {
		response.Finish()
		grant.Finish(admission.StoreError)
		return attemptRetry
	}
	header := x.w.Header()
	x.copyHeader(header, response.Header)
	if length := x.contentLength(response, read, err); length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	x.w.WriteHeader(response.StatusCode)
	_, _ = x.w.Write((*buffer)[:read])
	if err == nil {
		return x.forwardRemainder(ctx, grant, response, buffer)
	}
	response.Finish()
	grant.Finish(outcomeOfStatus(response.StatusCode))
	x.turn.responseForwarded(response.StatusCode)
	x.result = resultOfStatus(response.StatusCode)
	return attemptAnswered
}

// contentLength returns the Content-Length to send to the client, or -1 if it is not known. read is the number of body
// bytes read, and a non-nil err means that they are the whole body.
func (x *exchange) contentLength(response *upstream.Response, read int, err error) int64 {
	if response.ContentLength >= 0 {
		return response.ContentLength
	}
	if err != nil && x.r.Method != http.MethodHead {
		return int64(read)
	}
	return -1
}

// forwardRemainder forwards the part of a response that did not fit in the buffer.
func (x *exchange) forwardRemainder(ctx context.Context, grant *admission.Grant, response *upstream.Response, buffer *[]byte) attemptOutcome {
	for {
		read, err := response.Read(*buffer)
		if read > 0 {
			if _, writeErr := x.w.Write((*buffer)[:read]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			response.Finish()
			grant.Finish(outcomeOfStatus(response.StatusCode))
			x.result = resultOfStatus(response.StatusCode)
			return attemptAnswered
		default:
			x.lastErr = err
			response.Abort()
			grant.Finish(outcomeOfTruncation(ctx))
			return attemptAborted
		}
	}
}

// readUpTo reads into the buffer until the end of the response or until limit bytes were read. The error is io.EOF at the
// end of the response, and nil if there may be more.
func readUpTo(response *upstream.Response, buffer *[]byte, limit int) (int, error) {
	read := 0
	for read < limit {
		if read == len(*buffer) {
			*buffer = append(*buffer, make([]byte, len(*buffer))...)
		}
		n, err := response.Read((*buffer)[read:])
		read += n
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// serverErrorRetryable reports whether the request may be retried after a store responded with a server error.
func (x *exchange) serverErrorRetryable(ctx context.Context) bool {
	return x.idempotent() && x.executions < x.route.MaxAttempts && ctx.Err() == nil
}

// copyHeader copies the end-to-end headers of a store's response, except Content-Length and X-Not-Executed.
func (x *exchange) copyHeader(into, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if name == "Content-Length" || name == headerNotExecuted || !upstream.EndToEnd(name, connection) {
			continue
		}
		into[name] = values
	}
	if from["Content-Type"] == nil {
		into["Content-Type"] = nil // otherwise net/http would add a detected one
	}
	x.proxy.setConnectionClose(into)
}

// outcomeOfStatus returns the outcome to report to admission for a complete response.
func outcomeOfStatus(status int) admission.Outcome {
	if status >= 500 {
		return admission.StoreError
	}
	return admission.Success
}

// outcomeOfTruncation returns the outcome to report to admission for a truncated response.
func outcomeOfTruncation(ctx context.Context) admission.Outcome {
	if ctx.Err() != nil {
		return admission.Cancelled
	}
	return admission.ResponseLost
}
