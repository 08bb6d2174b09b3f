package testbed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Fault is how a store misbehaves.
type Fault uint8

// The disturbances.
const (
	NoFault           Fault = iota
	RejectAll               // 503 with X-Not-Executed; nothing runs
	CloseBeforeRun          // the connection ends before the request runs
	DropResponse            // the request runs, and its connection ends without an answer
	TruncateResponse        // the request runs, and its answer breaks off
	FailAfterRun            // the request runs and ends with a 500 of the store's own
	Hang                    // the request runs and gets no answer until its caller leaves
	DelayResponse           // the request runs, and its answer begins late
	SendExtraResponse       // the answer is followed by another one that nobody asked for
	LastFault         = SendExtraResponse
)

// slowRunTime is how late answers of SlowRun begin.
const slowRunTime = 400 * time.Millisecond

// failureText is the body of a store's own failures.
const failureText = "failed"

// SetFault has the store misbehave in a way until it is told another one.
func (s *Store) SetFault(how Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturb = how
}

func (s *Store) disturbance() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturb
}

// disturbRun misbehaves while a request runs and says whether it is to be answered as usual.
func (s *Store) disturbRun(w http.ResponseWriter, r *http.Request, how Fault) bool {
	requestID := r.Header.Get(headerRequestID)
	switch how {
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
		case <-time.After(slowRunTime):
		case <-r.Context().Done():
			return false
		}
	case SendExtraResponse:
		answerTwice(w, r, requestID)
		return false
	}
	return true
}

// answerTwice writes an answer that is whole, and another one right behind it under another request's id.
func answerTwice(w http.ResponseWriter, r *http.Request, requestID string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	signature := Signature(requestID, []byte(failureText))
	whole := "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
	first := fmt.Sprintf(whole, headerRequestID, requestID, headerSignature, signature, len(failureText), failureText)
	extra := fmt.Sprintf(whole, headerRequestID, "0000000000000000", headerSignature, signature, len(failureText), failureText)
	_, _ = connection.Write([]byte(first + extra))
	buffer := make([]byte, 1)
	_ = connection.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = connection.Read(buffer) // until the caller closes it or sends on it
}

// CheckFailure says what is wrong with a failure that bears a store's stamp.
func (r Reply) CheckFailure() error {
	if r.Status < http.StatusInternalServerError || r.Header.Get(headerSignature) == "" {
		return nil
	}
	return r.checkSignature([]byte(failureText))
}
