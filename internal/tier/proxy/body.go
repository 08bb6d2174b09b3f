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

// Sizes of pooled buffers, in bytes. Buffers that grew beyond maxPooledBytes are left to the garbage collector.
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

// readBody reads the complete request body, within the size limit and until the deadline. It returns nil if the
// request has no body.
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

// bodyReadDeadline is the time until which the client may send its body: a request is answered when its own time-out
// passes, whether its body is complete or not.
func (s *snapshot) bodyReadDeadline(r *http.Request, limits configuration.Limits, arrival time.Time) time.Time {
	const headerTimeouts = 2 // the configured limit is for the header; a body may take longer
	allowed := headerTimeouts * limits.HeaderTimeout
	if route := s.route(r); route != nil {
		allowed = min(allowed, requestTimeout(r.Header, route.Timeout))
	}
	return arrival.Add(allowed)
}

// statusOfBodyError is the HTTP status for a body that could not be read. No part of such a request was sent to a
// store.
func statusOfBodyError(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// headerBytes is the approximate size of the request's header in bytes.
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
