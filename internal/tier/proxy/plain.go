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

// plainBufferBytes is how much of a plain answer is read before any of it is passed on, so that one that breaks off can
// be had from another store.
const plainBufferBytes = 64 << 10

// answerBuffers holds buffers for answers. They grow as needed.
var answerBuffers = sync.Pool{New: func() any { buffer := make([]byte, 4<<10); return &buffer }}

func putAnswerBuffer(buffer *[]byte) {
	if cap(*buffer) <= largestPooled {
		answerBuffers.Put(buffer)
	}
}

// relayPlain passes an answer on that is no stream.
func (x *exchange) relayPlain(ctx context.Context, granted *admission.Grant, answer *upstream.Response) verdict {
	buffer := answerBuffers.Get().(*[]byte)
	defer putAnswerBuffer(buffer)
	read, err := readUpTo(answer, buffer, plainBufferBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		x.cause = err
		answer.Abort()
		granted.Finish(brokenOutcome(ctx))
		return x.afterBreak()
	}
	if answer.StatusCode >= 500 && err != nil && x.retryFailure(ctx) {
		answer.Finish()
		granted.Finish(admission.StoreError)
		return again
	}
	header := x.w.Header()
	x.copyHeader(header, answer.Header)
	if length := x.plainLength(answer, read, err); length >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	x.w.WriteHeader(answer.StatusCode)
	_, _ = x.w.Write((*buffer)[:read])
	if err == nil {
		return x.relayRest(ctx, granted, answer, buffer)
	}
	answer.Finish()
	granted.Finish(outcomeOf(answer.StatusCode))
	x.turn.finishPlain(answer.StatusCode)
	x.became = resultOfStore(answer.StatusCode)
	return answered
}

// plainLength is the length to announce; -1 where it is not known.
func (x *exchange) plainLength(answer *upstream.Response, read int, err error) int64 {
	if answer.ContentLength >= 0 {
		return answer.ContentLength
	}
	if err != nil && x.r.Method != http.MethodHead {
		return int64(read)
	}
	return -1
}

// relayRest passes on what is too long to be read first.
func (x *exchange) relayRest(ctx context.Context, granted *admission.Grant, answer *upstream.Response, buffer *[]byte) verdict {
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
			granted.Finish(outcomeOf(answer.StatusCode))
			x.became = resultOfStore(answer.StatusCode)
			return answered
		default:
			x.cause = err
			answer.Abort()
			granted.Finish(brokenOutcome(ctx))
			return brokeOff
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

// retryFailure says whether a failure that the store itself answered may be had better from another store.
func (x *exchange) retryFailure(ctx context.Context) bool {
	return x.repeatable() && x.ran < x.route.MaxAttempts && ctx.Err() == nil
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
	x.proxy.markClosing(into)
}

func outcomeOf(status int) admission.Outcome {
	if status >= 500 {
		return admission.StoreError
	}
	return admission.Success
}

func brokenOutcome(ctx context.Context) admission.Outcome {
	if ctx.Err() != nil {
		return admission.Cancelled
	}
	return admission.ResponseLost
}
