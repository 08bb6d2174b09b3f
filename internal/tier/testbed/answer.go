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
)

const (
	healthPath   = "/healthz"
	plainSize    = 800 // bytes of a plain answer
	eventStream  = "text/event-stream"
	digestDigits = 16
)

// TokensPerEvent is the number of tokens in each event.
const TokensPerEvent = 3

// PlainBody is the body that a plain store answers a request with.
func PlainBody(method, path string, body []byte) []byte {
	line := digest(method, path, string(body)) + "\n"
	return []byte(strings.Repeat(line, plainSize/len(line)))
}

// EventData is the data of the events that an engine answers a prompt with; the first has the number 1.
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

// EventCount is the number of events for the most tokens to come out.
func EventCount(tokensOut int) int { return max(1, (tokensOut+TokensPerEvent-1)/TokensPerEvent) }

// Output is what a turn with these events adds to the prompt of the next one.
func Output(events []string) []byte {
	if len(events) == 0 {
		return nil
	}
	return []byte(strings.Join(events, "\n") + "\n")
}

// Signature is the stamp of a store's answer to a request.
func Signature(requestID string, body []byte) string {
	return digest("signature", requestID, string(body))
}

func digest(parts ...string) string {
	sum := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(sum.Sum(nil))[:digestDigits]
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // broken off: not run
	}
	requestID := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, requestID)
	w.Header().Set(headerLoad, s.load())
	if requestID == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	disturbance := s.disturbance()
	if disturbance == RejectAll {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	if disturbance == CloseBeforeRun {
		panic(http.ErrAbortHandler)
	}
	run := s.begin(r, body)
	if run == nil {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	whole := false
	defer func() { s.finish(run, whole) }()
	if !s.disturbRun(w, r, disturbance) {
		return
	}
	if s.options.Engine {
		whole = s.answerEvents(w, r, body)
	} else {
		whole = s.answerPlain(w, r, body)
	}
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

func (s *Store) answerPlain(w http.ResponseWriter, r *http.Request, body []byte) bool {
	if !s.pause(r.Context()) || !s.waitForRelease(r.Context()) {
		return false
	}
	answer := PlainBody(r.Method, r.URL.RequestURI(), body)
	w.Header().Set(headerSignature, Signature(r.Header.Get(headerRequestID), answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, err := w.Write(answer)
	return err == nil
}

func (s *Store) answerEvents(w http.ResponseWriter, r *http.Request, prompt []byte) bool {
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
		if !s.pause(r.Context()) || !s.waitForRelease(r.Context()) {
			return false
		}
	}
	return true
}

// tokensOut is the second number of X-Token-Usage.
func tokensOut(usage string) int {
	_, out, _ := strings.Cut(usage, ",")
	tokens, err := strconv.Atoi(out)
	if err != nil {
		return TokensPerEvent
	}
	return tokens
}
