package testbed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Fault is a way in which a store misbehaves.
type Fault uint8

// The faults of stores.
const (
	NoFault           Fault = iota
	RejectAll               // 503 with X-Not-Executed; nothing runs
	CloseBeforeRun          // the connection ends before the request runs
	DropResponse            // the request runs, and its connection ends without a response
	TruncateResponse        // the request runs, and its response is truncated
	FailAfterRun            // the request runs, and the store answers 500
	Hang                    // the request runs and gets no response until the client disconnects
	DelayResponse           // the request runs, and its response begins late
	SendExtraResponse       // the response is followed by one that no request asked for
	LastFault         = SendExtraResponse
)

// responseLateness is how late the responses of DelayResponse begin.
const responseLateness = 400 * time.Millisecond

// failureText is the body of a store's own 500 responses.
const failureText = "failed"

// SetFault makes the store misbehave until another fault, or NoFault, is set.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Store) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// injectFault misbehaves for a running request and reports whether the request is to be answered as usual.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	requestID := r.Header.Get(headerRequestID)
	switch fault {
	case DropResponse:
		panic(http.ErrAbortHandler)
	case TruncateResponse:
		w.Header().Set(headerSignature, Signature(requestID, nil))
		w.Header().Set("Content-Length", strconv.Itoa(plainSize))
		_, _ = w.Write([]byte("half of an ans"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FailAfterRun:
		w.Header().Set(headerSignature, Signature(requestID, []byte(failureText)))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(failureText))
		return false
	case Hang:
		<-r.Context().Done()
		return false
	case DelayResponse:
		select {
		case <-time.After(responseLateness):
		case <-r.Context().Done():
			return false
		}
	case SendExtraResponse:
		sendExtraResponse(w, requestID)
		return false
	}
	return true
}

// sendExtraResponse writes a complete response, directly followed by a second one with another request's id.
func sendExtraResponse(w http.ResponseWriter, requestID string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	signature := Signature(requestID, []byte(failureText))
	response := "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
	first := fmt.Sprintf(response, headerRequestID, requestID, headerSignature, signature, len(failureText), failureText)
	extra := fmt.Sprintf(response, headerRequestID, "0000000000000000", headerSignature, signature, len(failureText), failureText)
	_, _ = connection.Write([]byte(first + extra))
	buffer := make([]byte, 1)
	_ = connection.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = connection.Read(buffer) // until the client closes the connection or sends on it
}

// CheckFailure returns an error if a failure response has a wrong signature. Failures without a signature are the tier's
// own.
func (r Reply) CheckFailure() error {
	if r.Status < http.StatusInternalServerError || r.Header.Get(headerSignature) == "" {
		return nil
	}
	return r.checkSignature([]byte(failureText))
}
