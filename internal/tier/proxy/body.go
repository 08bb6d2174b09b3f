package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/configuration"
)

// Sizes of pooled buffers.
const (
	bodyBufferBytes = 4 << 10
	maxPooledBytes  = 128 << 10
)

var errBodyTooLarge = eris.New("request body is too large")

var bodyBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, bodyBufferBytes)) }}

func putBody(buffer *bytes.Buffer) {
	if buffer != nil && buffer.Cap() <= maxPooledBytes {
		bodyBuffers.Put(buffer)
	}
}

// readBody reads the whole body of a request within the limits and until a time; nil where it has none.
func readBody(w http.ResponseWriter, r *http.Request, limits configuration.Limits, until time.Time) (*bytes.Buffer, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(until)
	buffer := bodyBuffers.Get().(*bytes.Buffer)
	buffer.Reset()
	_, err := buffer.ReadFrom(io.LimitReader(r.Body, limits.MaxBodyBytes+1))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err == nil && int64(buffer.Len()) > limits.MaxBodyBytes {
		err = errBodyTooLarge
	}
	if err != nil {
		putBody(buffer)
		return nil, err
	}
	return buffer, nil
}

// bodyReadDeadline is until when a client may send its body: a request is answered when its own time is up, whole or not.
func (v *snapshot) bodyReadDeadline(r *http.Request, limits configuration.Limits, arrival time.Time) time.Time {
	const times = 2 // the limit is for the head; a body may take longer
	allowed := times * limits.HeaderTimeout
	if route := v.route(r); route != nil {
		allowed = min(allowed, requestTimeout(r.Header, route.Timeout))
	}
	return arrival.Add(allowed)
}

// statusOfBodyError is the status for a body that could not be read. Nothing of the request was sent to any store.
func statusOfBodyError(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// headerBytes is about how long the head of a request was.
func headerBytes(r *http.Request) int {
	const perField, perLine = 4, 16
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + perLine
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + perField
		}
	}
	return size
}
