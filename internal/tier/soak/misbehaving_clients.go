package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/testbed"
)

const (
	misbehavingInterval = 80 * time.Millisecond
	misbehavingTimeout  = 4 * time.Second // of one connection
)

// runMisbehavingClients runs clients that misbehave on raw connections until ctx ends.
func (h *harness) runMisbehavingClients(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 6000))
	for number := 0; clock.Sleep(ctx, misbehavingInterval); number++ {
		edge := h.Edges[random.IntN(len(h.Edges))]
		connection, err := net.DialTimeout("tcp4", edge.Settings.Listen.Front, time.Second)
		if err != nil {
			continue
		}
		_ = connection.SetDeadline(time.Now().Add(misbehavingTimeout))
		text := fmt.Sprintf("misbehaving-%d", number)
		switch random.IntN(4) {
		case 0:
			h.pipeline(connection, edge, text)
		case 1:
			h.disconnectInBody(connection, edge, text, random)
		case 2:
			h.disconnectInHeader(connection, random)
		case 3:
			h.readNothing(ctx, connection, edge, text, random)
		}
		_ = connection.Close()
	}
}

// newOrderRequest returns the text of a non-idempotent request, and its attempt.
func (h *harness) newOrderRequest(edge *testbed.Machine, text string) (string, *Attempt) {
	attempt := &Attempt{
		ID: testbed.NewRequestID(), Route: string(orderRoute), Front: edge.Settings.Listen.Front, Method: "POST",
		Path: testbed.OrderPrefix + "o", Body: []byte(text), Prompt: []byte(text), Sent: time.Now(), Disconnected: true,
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		attempt.Path, testbed.Host, attempt.ID, callTime.Milliseconds(), len(text))
	return head + text, attempt
}

// pipeline sends two requests before the first response: the responses must come in order, each to its own request.
func (h *harness) pipeline(connection net.Conn, edge *testbed.Machine, text string) {
	first, one := h.newOrderRequest(edge, text+"-first")
	second, two := h.newOrderRequest(edge, text+"-second")
	defer h.add(two)
	defer h.add(one)
	if _, err := io.WriteString(connection, first+second); err != nil {
		return
	}
	reader := bufio.NewReader(connection)
	for _, attempt := range []*Attempt{one, two} {
		response, err := http.ReadResponse(reader, &http.Request{Method: attempt.Method})
		if err != nil {
			attempt.Error = err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		attempt.Ended, attempt.Status = time.Now(), response.StatusCode
		if err != nil {
			attempt.Error = err.Error()
			return
		}
		if received := response.Header.Get("X-Request-Id"); received != attempt.ID {
			h.ReportViolation("MIXED", "pipelined %s got the response of %s", attempt.ID, received)
		}
		reply := testbed.Reply{RequestID: attempt.ID, Status: response.StatusCode, Header: response.Header, Body: body}
		call := testbed.Call{Method: attempt.Method, Path: attempt.Path, Body: attempt.Body}
		if response.StatusCode == http.StatusOK {
			if err := reply.CheckPlain(call); err != nil {
				h.ReportViolation("MIXED", "pipelined: %v", err)
			}
			h.Count("pipelined request served")
		}
		if response.Close {
			return
		}
	}
}

// disconnectInBody disconnects within the request body: no store may run the request.
func (h *harness) disconnectInBody(connection net.Conn, edge *testbed.Machine, text string, random *rand.Rand) {
	request, attempt := h.newOrderRequest(edge, text+strings.Repeat(" filler", 40))
	attempt.Path = testbed.OrderPrefix + "left"
	request = strings.Replace(request, testbed.OrderPrefix+"o ", attempt.Path+" ", 1)
	attempt.Prompt = nil // no store may get any of it
	defer h.add(attempt)
	if _, err := io.WriteString(connection, request[:len(request)-1-random.IntN(200)]); err != nil {
		return
	}
	time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	if random.IntN(2) == 0 {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	h.Count("client disconnected within its body")
}

// disconnectInHeader sends an incomplete or invalid header and disconnects.
func (h *harness) disconnectInHeader(connection net.Conn, random *rand.Rand) {
	texts := []string{
		"POST /order/o HTTP/1.1\r\nHost: ", "\x16\x03\x01\x02\x00\x01\x00", "GET / HTTP/1.1\r\n\r\n",
		"POST /order/o HTTP/1.1\r\nHost: toy.example\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"POST /order/o HTTP/1.1\r\nHost: toy.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n0\r\n\r\nX",
		"POST /order/o HTTP/1.1\r\nHost: toy.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
	}
	_, _ = io.WriteString(connection, texts[random.IntN(len(texts))])
	time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	h.Count("client sent an incomplete or invalid header")
}

// readNothing requests a stream and reads none of it for a while.
func (h *harness) readNothing(ctx context.Context, connection net.Conn, edge *testbed.Machine, text string, random *rand.Rand) {
	attempt := &Attempt{
		ID: testbed.NewRequestID(), Route: string(draftRoute), Front: edge.Settings.Listen.Front, Method: "POST",
		Path: testbed.DraftPrefix + "d", Body: []byte(text), Prompt: []byte(text), Sent: time.Now(), Disconnected: true,
	}
	defer h.add(attempt)
	_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Usage: 5,%d\r\nContent-Length: %d\r\n\r\n%s",
		attempt.Path, testbed.Host, attempt.ID, maxOutputTokens, len(text), text)
	clock.Sleep(ctx, time.Duration(random.IntN(400))*time.Millisecond)
	h.Count("client read nothing")
}
