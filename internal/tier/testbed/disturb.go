package testbed

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Disturbance is how a store misbehaves.
type Disturbance uint8

// The disturbances.
const (
	NoDisturbance   Disturbance = iota
	RefuseAll                   // 503 with X-Not-Executed; nothing runs
	BreakBeforeRun              // the connection ends before the request runs
	LoseAnswer                  // the request runs, and its connection ends without an answer
	CutAnswer                   // the request runs, and its answer breaks off
	FailRun                     // the request runs and ends with a 500 of the store's own
	HangRun                     // the request runs and gets no answer until its caller leaves
	SlowRun                     // the request runs, and its answer begins late
	AnswerTwice                 // the answer is followed by another one that nobody asked for
	LastDisturbance = AnswerTwice
)

// slowRunTime is how late answers of SlowRun begin.
const slowRunTime = 400 * time.Millisecond

// failureText is the body of a store's own failures.
const failureText = "failed"

// Disturb has the store misbehave in a way until it is told another one.
func (s *Store) Disturb(how Disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturb = how
}

func (s *Store) disturbance() Disturbance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturb
}

// disturbRun misbehaves while a request runs and says whether it is to be answered as usual.
func (s *Store) disturbRun(w http.ResponseWriter, r *http.Request, how Disturbance) bool {
	requestID := r.Header.Get(headerRequestID)
	switch how {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case CutAnswer:
		w.Header().Set(headerSignature, Signature(requestID, nil))
		w.Header().Set("Content-Length", strconv.Itoa(plainSize))
		_, _ = w.Write([]byte("half of an ans"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FailRun:
		w.Header().Set(headerSignature, Signature(requestID, []byte(failureText)))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(failureText))
		return false
	case HangRun:
		<-r.Context().Done()
		return false
	case SlowRun:
		select {
		case <-time.After(slowRunTime):
		case <-r.Context().Done():
			return false
		}
	case AnswerTwice:
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
