package testbed

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Headers between clients, the tier and stores.
const (
	headerRequestID      = "X-Request-Id"
	headerSignature      = "X-Response-Signature"
	headerExpectInstance = "X-Expect-Instance"
	headerInstance       = "X-Instance-Id"
	headerLoad           = "X-Server-Load"
	headerNotExecuted    = "X-Not-Executed"
	headerDeadline       = "X-Deadline-Ms"
	headerUsage          = "X-Token-Usage"
	headerLastEvent      = "Last-Event-Id"
	headerModel          = "X-Model"
	headerPrefix         = "X-Prompt-Prefix"
	headerProgram        = "Program"
	headerSession        = "Session"
	headerBudget         = "Budget"
	headerPrevious       = "Previous"
	headerFinish         = "Finish-Ms"
	headerRunDelay       = "X-Run-Delay-Ms" // between the fakes alone: Call.RunDelay
)

const (
	healthPath   = "/healthz"
	plainSize    = 800 // bytes of a plain response
	eventStream  = "text/event-stream"
	digestDigits = 16
)

// TokensPerEvent is the number of tokens in each event of an engine's stream.
const TokensPerEvent = 3

// PlainBody returns the body of a plain store's response to a request.
func PlainBody(method, path string, body []byte) []byte {
	line := digest(method, path, string(body)) + "\n"
	return []byte(strings.Repeat(line, plainSize/len(line)))
}

// EventData returns the data of the events of an engine's response to a prompt. The event at index 0 has the id 1.
func EventData(prompt []byte, count int) []string {
	events := make([]string, count)
	for i := range events {
		events[i] = eventData(prompt, i+1)
	}
	return events
}

func eventData(prompt []byte, number int) string {
	return digest("event", strconv.Itoa(number), string(prompt))
}

// EventCount returns the number of events for a limit of output tokens.
func EventCount(tokensOut int) int { return max(1, (tokensOut+TokensPerEvent-1)/TokensPerEvent) }

// Output returns what a turn with these events adds to the prompt of the next turn.
func Output(events []string) []byte {
	if len(events) == 0 {
		return nil
	}
	return []byte(strings.Join(events, "\n") + "\n")
}

// Signature returns the signature that a store gives its response to a request.
func Signature(requestID string, body []byte) string {
	return digest("signature", requestID, string(body))
}

func digest(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(sum.Sum(nil))[:digestDigits]
}

// serve runs a request that is addressed to this store.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client has gone: not run
	}
	requestID := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, requestID)
	w.Header().Set(headerLoad, s.load())
	if requestID == "" {
		reject(w, http.StatusBadRequest)
		return
	}
	fault := s.currentFault()
	if fault == RejectAll {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	if fault == CloseBeforeRun {
		panic(http.ErrAbortHandler)
	}
	run := s.begin(r, body)
	if run == nil {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	completed := false
	defer func() { s.finish(run, completed) }()
	if !s.injectFault(w, r, fault) {
		return
	}
	if s.options.Engine {
		completed = s.writeEvents(w, r, body)
	} else {
		completed = s.writePlain(w, r, body)
	}
}

// reject answers that the request has not been executed.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// writePlain writes a plain response and reports whether all of it was written.
func (s *Store) writePlain(w http.ResponseWriter, r *http.Request, body []byte) bool {
	if !s.delay(r) || !s.waitUntilUnblocked(r.Context()) {
		return false
	}
	response := PlainBody(r.Method, r.URL.RequestURI(), body)
	w.Header().Set(headerSignature, Signature(r.Header.Get(headerRequestID), response))
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, err := w.Write(response)
	return err == nil
}

// writeEvents writes a stream of events, from the one behind Last-Event-Id on, and reports whether all were written.
func (s *Store) writeEvents(w http.ResponseWriter, r *http.Request, prompt []byte) bool {
	w.Header().Set(headerSignature, Signature(r.Header.Get(headerRequestID), prompt))
	w.Header().Set("Content-Type", eventStream)
	w.Header().Set("Versions", "1")
	first, _ := strconv.Atoi(r.Header.Get(headerLastEvent)) // absent: 0
	last := EventCount(tokensOut(r.Header.Get(headerUsage)))
	for number := first + 1; number <= last; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, eventData(prompt, number)); err != nil {
			return false
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		if !s.delay(r) || !s.waitUntilUnblocked(r.Context()) {
			return false
		}
	}
	return true
}

// tokensOut returns the second number of X-Token-Usage, the limit of output tokens.
func tokensOut(usage string) int {
	_, out, _ := strings.Cut(usage, ",")
	tokens, err := strconv.Atoi(out)
	if err != nil {
		return TokensPerEvent
	}
	return tokens
}
