package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndToEnd(t *testing.T) {
	connection := []string{"close, x-one", "X-Two"}
	for name, passed := range map[string]bool{
		"Connection": false, "Keep-Alive": false, "Transfer-Encoding": false, "X-One": false, "X-Two": false,
		"X-Three": true, "Previous": true,
	} {
		assert.Equal(t, EndToEnd(name, connection), passed, name)
	}
}

func TestIdleDeadlineIsBeforeTheStores(t *testing.T) {
	now := time.Unix(1000, 0)
	for text, kept := range map[string]time.Duration{
		"timeout=10":        8 * time.Second,
		"max=5, Timeout=1":  700 * time.Millisecond,
		"timeout=0":         defaultIdle,
		"timeout=soon":      defaultIdle,
		"":                  defaultIdle,
		"timeout=100000000": 48 * time.Second,
	} {
		header := http.Header{}
		if text != "" {
			header.Set("Keep-Alive", text)
		}
		assert.Equal(t, idleDeadline(now, header).Sub(now), kept, text)
	}
}

func TestWriteHead(t *testing.T) {
	var head bytes.Buffer
	request := &Request{
		Method: "POST", URI: "/a//b?c=%20", Host: "h.example", ID: "id", LastEventID: "7", HasBody: true,
		Header: http.Header{
			"X-Deadline-Ms": {"9"}, "X-Request-Id": {"id"}, "Last-Event-Id": {"1"}, "X-Expect-Instance": {"forged"},
			"Content-Length": {"99"}, "X-Any": {"v"},
		},
		Body: [][]byte{[]byte("ab"), []byte("c")},
	}
	writeHead(&head, Store{Instance: "i-1"}, request, 1500*time.Millisecond)
	lines := strings.Split(head.String(), "\r\n")
	assert.DeepEqual(t, lines, []string{
		"POST /a//b?c=%20 HTTP/1.1", "Host: h.example", "X-Request-Id: id", "X-Expect-Instance: i-1", "X-Deadline-Ms: 1500",
		"Last-Event-Id: 7", "Content-Length: 3", "X-Any: v", "", "",
	})
}

// What was never dialled was never sent, and a store that has its share of connections gets no more.
func TestNothingIsSentWithoutAConnection(t *testing.T) {
	transport := NewTransport()
	dialed := 0
	transport.dial = func(context.Context, string) (net.Conn, error) {
		dialed++
		return nil, errors.New("refused")
	}
	request := &Request{Deadline: time.Now().Add(time.Hour)}
	store := Store{Instance: "i-1", Address: "10.0.0.1:1"}
	_, err := transport.Send(context.Background(), store, 1, request)
	assertNotSent(t, err, ErrDial)
	_, err = transport.Send(context.Background(), store, 1, request)
	assertNotSent(t, err, ErrDial) // the failed one is not counted
	_, err = transport.reserve(store, 1, &Request{ID: ""})
	assert.NilError(t, err)
	_, err = transport.Send(context.Background(), store, 1, request)
	assertNotSent(t, err, ErrTooManyConnections)
	assert.Equal(t, dialed, 2)
	transport.Close()
	_, err = transport.Send(context.Background(), store, 1, request)
	assertNotSent(t, err, ErrClosed)
}

func assertNotSent(t *testing.T, err, reason error) {
	t.Helper()
	var failure *SendError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
	assert.ErrorIs(t, err, reason)
}

func assertSent(t *testing.T, err, reason error) {
	t.Helper()
	var failure *SendError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Sent)
	assert.ErrorIs(t, err, reason)
}
