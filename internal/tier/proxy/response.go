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

// responseBufferBytes is how much of a plain answer is read before any of it is passed on, so that one that breaks off can
// be had from another store.
const responseBufferBytes = 64 << 10

// responseBuffers holds buffers for answers. They grow as needed.
var responseBuffers = sync.Pool{New: func() any { buffer := make([]byte, 4<<10); return &buffer }}

func putResponseBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBytes {
		responseBuffers.Put(buffer)
	}
}

// forwardResponse passes an answer on that is no stream.
func (x *exchange) forwardResponse(ctx context.Context, granted *admission.Grant, answer *upstream.Response) attemptOutcome {
	buffer := responseBuffers.Get().(*[]byte)
	defer putResponseBuffer(buffer)
	read, err := readUpTo(answer, buffer, responseBufferBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		x.lastErr = err
		answer.Abort()
		granted.Finish(outcomeOfBreak(ctx))
		return x.retryOrAbort()
	}
	if answer.StatusCode >= 500 && err != nil && x.failureRetryable(ctx) {
		answer.Finish()
		granted.Finish(admission.StoreError)
		return attemptRetry
	}
	header := x.w.Header()
	x.copyHeader(header, answer.Header)
	if length := x.contentLength(answer, read, err); length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	x.w.WriteHeader(answer.StatusCode)
	_, _ = x.w.Write((*buffer)[:read])
	if err == nil {
		return x.forwardRemainder(ctx, granted, answer, buffer)
	}
	answer.Finish()
	granted.Finish(outcomeOfStatus(answer.StatusCode))
	x.turn.responseForwarded(answer.StatusCode)
	x.result = resultOfStatus(answer.StatusCode)
	return attemptAnswered
}

// contentLength is the length to announce; -1 where it is not known.
func (x *exchange) contentLength(answer *upstream.Response, read int, err error) int64 {
	if answer.ContentLength >= 0 {
		return answer.ContentLength
	}
	if err != nil && x.r.Method != http.MethodHead {
		return int64(read)
	}
	return -1
}

// forwardRemainder passes on what is too long to be read first.
func (x *exchange) forwardRemainder(ctx context.Context, granted *admission.Grant, answer *upstream.Response, buffer *[]byte) attemptOutcome {
	for {
		read, err := answer.Read(*buffer)
		if read > 0 {
			if _, failure := x.w.Write((*buffer)[:read]); failure != nil {
				err = failure
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			answer.Finish()
			granted.Finish(outcomeOfStatus(answer.StatusCode))
			x.result = resultOfStatus(answer.StatusCode)
			return attemptAnswered
		default:
			x.lastErr = err
			answer.Abort()
			granted.Finish(outcomeOfBreak(ctx))
			return attemptAborted
		}
	}
}

// readUpTo reads until the end of the answer or until most bytes are there; without an error there is more.
func readUpTo(answer *upstream.Response, buffer *[]byte, most int) (int, error) {
	read := 0
	for read < most {
		if read == len(*buffer) {
			*buffer = append(*buffer, make([]byte, len(*buffer))...)
		}
		n, err := answer.Read((*buffer)[read:])
		read += n
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// failureRetryable says whether a failure that the store itself answered may be had better from another store.
func (x *exchange) failureRetryable(ctx context.Context) bool {
	return x.idempotent() && x.executions < x.route.MaxAttempts && ctx.Err() == nil
}

// copyHeader passes on the headers of a store's answer, except those of its connection.
func (x *exchange) copyHeader(into, from http.Header) {
	connection := from["Connection"]
	for name, values := range from {
		if name == "Content-Length" || name == headerNotExecuted || !upstream.EndToEnd(name, connection) {
			continue
		}
		into[name] = values
	}
	if from["Content-Type"] == nil {
		into["Content-Type"] = nil // net/http would guess one
	}
	x.proxy.setConnectionClose(into)
}

func outcomeOfStatus(status int) admission.Outcome {
	if status >= 500 {
		return admission.StoreError
	}
	return admission.Success
}

func outcomeOfBreak(ctx context.Context) admission.Outcome {
	if ctx.Err() != nil {
		return admission.Cancelled
	}
	return admission.ResponseLost
}
