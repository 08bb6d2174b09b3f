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

const (
	bodyBufferBytes = 4 << 10   // initial capacity of a pooled buffer
	maxPooledBytes  = 128 << 10 // larger buffers are not returned to their pool
)

var errBodyTooLarge = eris.New("request body is too large")

var bodyBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, bodyBufferBytes)) }}

// putBody returns a body's buffer to the pool. The buffer may be nil.
func putBody(buffer *bytes.Buffer) {
	if buffer != nil && buffer.Cap() <= maxPooledBytes {
		bodyBuffers.Put(buffer)
	}
}

// readBody reads the whole request body, subject to the size limit and the deadline. It returns nil if the request has
// no body. The caller returns the buffer with putBody.
func readBody(w http.ResponseWriter, r *http.Request, limits configuration.Limits, deadline time.Time) (*bytes.Buffer, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limits.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
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

// bodyReadDeadline returns the time by which the client must have sent the request body. It is no later than the
// request's own deadline if its route is known, so that a request with an incomplete body is answered in time.
func (s *snapshot) bodyReadDeadline(r *http.Request, limits configuration.Limits, arrival time.Time) time.Time {
	const headerTimeoutMultiple = 2 // the configured limit is for the header; a body may take longer
	allowed := headerTimeoutMultiple * limits.HeaderTimeout
	if route := s.route(r); route != nil {
		allowed = min(allowed, requestTimeout(r.Header, route.Timeout))
	}
	return arrival.Add(allowed)
}

// statusOfBodyError returns the HTTP status for a request whose body could not be read. No part of such a request was
// sent to a store.
func statusOfBodyError(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// headerBytes returns the approximate size of the request's header in bytes.
func headerBytes(r *http.Request) int {
	const (
		fieldOverhead       = 4  // ": " and CRLF
		requestLineOverhead = 16 // approximately the rest of the request line
	)
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + requestLineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}
