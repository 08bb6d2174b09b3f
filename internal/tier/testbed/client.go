package testbed

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Call is a client's request.
type Call struct {
	RequestID    string // drawn where empty
	Method       string
	Path         string
	Body         []byte
	Deadline     time.Duration // 0: defaultDeadline
	GracePeriod  time.Duration // how much longer than its deadline the client waits
	Program      string
	Session      string
	PreviousTurn string // request id of the turn that this one goes on from
	Budget       int    // 0: none told
	TokensOut    int    // most to come out; engines only
}

const defaultDeadline = 5 * time.Second

// Reply is what came of one try.
type Reply struct {
	RequestID string
	Status    int
	Header    http.Header
	Body      []byte
	Err       error // the connection ended before the answer was whole
}

// Client sends requests to the front addresses of the tier.
type Client struct {
	http *http.Client
}

// NewClient makes a client that keeps connections.
func NewClient() *Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends a call once to a front address and reads the answer to its end.
func (c *Client) Do(ctx context.Context, front string, call Call) Reply {
	reply := Reply{RequestID: call.RequestID}
	if reply.RequestID == "" {
		reply.RequestID = NewRequestID()
	}
	deadline := call.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+call.GracePeriod)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+front+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		reply.Err = err
		return reply
	}
	request.Host = Host
	call.setHeaders(request.Header, reply.RequestID, deadline)
	answer, err := c.http.Do(request)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer answer.Body.Close()
	reply.Status, reply.Header = answer.StatusCode, answer.Header
	reply.Body, reply.Err = io.ReadAll(answer.Body)
	return reply
}

func (c Call) setHeaders(header http.Header, requestID string, deadline time.Duration) {
	header.Set(headerRequestID, requestID)
	header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.TokensOut > 0 {
		header.Set(headerUsage, fmt.Sprintf("%d,%d", len(c.Body)/4+1, c.TokensOut))
		header.Set(headerModel, "m")
		header.Set(headerPrefix, digest(c.Session)+":"+strconv.Itoa(len(c.Body)/4+1))
	}
	if c.Program != "" {
		header.Set(headerProgram, c.Program)
		header.Set(headerSession, c.Session)
		header.Set(headerFinish, "10000")
	}
	if c.Budget > 0 {
		header.Set(headerBudget, strconv.Itoa(c.Budget))
	}
	if c.PreviousTurn != "" {
		header.Set(headerPrevious, c.PreviousTurn)
	}
}

// NotExecuted says that the request has not run and never will.
func (r Reply) NotExecuted() bool {
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return r.Err == nil
	}
	return false
}

// CheckPlain says what is wrong with a plain answer to a call.
func (r Reply) CheckPlain(call Call) error {
	want := PlainBody(call.Method, call.Path, call.Body)
	if err := r.checkHead(want); err != nil {
		return err
	}
	if !bytes.Equal(r.Body, want) {
		return eris.Errorf("request %s: the body is not the store's: %q", r.RequestID, r.Body)
	}
	return nil
}

// CheckEvents says what is wrong with an answer of events to a call; prompt is all that the store was to get.
func (r Reply) CheckEvents(call Call, prompt []byte) error {
	if err := r.checkHead(prompt); err != nil {
		return err
	}
	if want := eventsText(prompt, EventCount(call.TokensOut)); string(r.Body) != want {
		return eris.Errorf("request %s: want the events\n%sgot\n%s", r.RequestID, want, r.Body)
	}
	return nil
}

// CheckEventsSoFar says what is wrong with the beginning of an answer of events that broke off.
func (r Reply) CheckEventsSoFar(call Call, prompt []byte) error {
	if err := r.checkSignature(prompt); err != nil {
		return err
	}
	if whole := eventsText(prompt, EventCount(call.TokensOut)); !strings.HasPrefix(whole, string(r.Body)) {
		return eris.Errorf("request %s: want a beginning of\n%sgot\n%s", r.RequestID, whole, r.Body)
	}
	return nil
}

func eventsText(prompt []byte, count int) string {
	text := strings.Builder{}
	for i, data := range EventData(prompt, count) {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i+1, data)
	}
	return text.String()
}

func (r Reply) checkHead(signed []byte) error {
	switch {
	case r.Err != nil:
		return eris.Wrapf(r.Err, "request %s: not whole", r.RequestID)
	case r.Status != http.StatusOK:
		return eris.Errorf("request %s: status %d: %s", r.RequestID, r.Status, r.Body)
	}
	return r.checkSignature(signed)
}

func (r Reply) checkSignature(signed []byte) error {
	if r.Header.Get(headerSignature) != Signature(r.RequestID, signed) {
		return eris.Errorf("request %s: signature %q is not the store's", r.RequestID, r.Header.Get(headerSignature))
	}
	return nil
}

// NewRequestID draws the id of a request.
func NewRequestID() string {
	random := make([]byte, 8)
	if _, err := rand.Read(random); err != nil {
		panic(err) // the system's source of randomness is gone
	}
	return hex.EncodeToString(random)
}
