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
	rudePause = 80 * time.Millisecond
	rudeTime  = 4 * time.Second // of one connection
)

// runRude plays clients that misbehave on raw connections until ctx ends.
func (w *world) runRude(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.plan.Seed, 6000))
	for number := 0; clock.Sleep(ctx, rudePause); number++ {
		edge := w.Edges[random.IntN(len(w.Edges))]
		connection, err := net.DialTimeout("tcp4", edge.Settings.Listen.Front, time.Second)
		if err != nil {
			continue
		}
		_ = connection.SetDeadline(time.Now().Add(rudeTime))
		text := fmt.Sprintf("rude-%d", number)
		switch random.IntN(4) {
		case 0:
			w.pipeline(connection, edge, text)
		case 1:
			w.leaveInBody(connection, edge, text, random)
		case 2:
			w.leaveInHead(connection, random)
		case 3:
			w.readNothing(ctx, connection, edge, text, random)
		}
		_ = connection.Close()
	}
}

// rudeOrder is a request of the route that runs once, and its attempt.
func (w *world) rudeOrder(edge *testbed.Machine, text string) (string, *Attempt) {
	attempt := &Attempt{
		ID: testbed.NewRequestID(), Route: string(orderRoute), Front: edge.Settings.Listen.Front, Method: "POST",
		Path: testbed.OrderPrefix + "o", Body: []byte(text), Prompt: []byte(text), Sent: time.Now(), Left: true,
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		attempt.Path, testbed.Host, attempt.ID, callTime.Milliseconds(), len(text))
	return head + text, attempt
}

// pipeline sends two requests ahead of the first answer: answers come in order, each to its own.
func (w *world) pipeline(connection net.Conn, edge *testbed.Machine, text string) {
	first, one := w.rudeOrder(edge, text+"-first")
	second, two := w.rudeOrder(edge, text+"-second")
	defer w.add(two)
	defer w.add(one)
	if _, err := io.WriteString(connection, first+second); err != nil {
		return
	}
	reader := bufio.NewReader(connection)
	for _, attempt := range []*Attempt{one, two} {
		answer, err := http.ReadResponse(reader, &http.Request{Method: attempt.Method})
		if err != nil {
			attempt.Error = err.Error()
			return
		}
		body, err := io.ReadAll(answer.Body)
		attempt.Ended, attempt.Status = time.Now(), answer.StatusCode
		if err != nil {
			attempt.Error = err.Error()
			return
		}
		if told := answer.Header.Get("X-Request-Id"); told != attempt.ID {
			w.Break("MIXED", "pipelined %s got the answer of %s", attempt.ID, told)
		}
		reply := testbed.Reply{RequestID: attempt.ID, Status: answer.StatusCode, Header: answer.Header, Body: body}
		call := testbed.Call{Method: attempt.Method, Path: attempt.Path, Body: attempt.Body}
		if answer.StatusCode == http.StatusOK {
			if err := reply.CheckPlain(call); err != nil {
				w.Break("MIXED", "pipelined: %v", err)
			}
			w.Count("pipelined request served")
		}
		if answer.Close {
			return
		}
	}
}

// leaveInBody breaks off within the body: no store may run it.
func (w *world) leaveInBody(connection net.Conn, edge *testbed.Machine, text string, random *rand.Rand) {
	whole, attempt := w.rudeOrder(edge, text+strings.Repeat(" filler", 40))
	attempt.Path = testbed.OrderPrefix + "left"
	whole = strings.Replace(whole, testbed.OrderPrefix+"o ", attempt.Path+" ", 1)
	attempt.Prompt = nil // whatever a store got of it is wrong
	defer w.add(attempt)
	if _, err := io.WriteString(connection, whole[:len(whole)-1-random.IntN(200)]); err != nil {
		return
	}
	time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	if random.IntN(2) == 0 {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
	w.Count("client left within its body")
}

// leaveInHead sends a part of a head, or what is none.
func (w *world) leaveInHead(connection net.Conn, random *rand.Rand) {
	texts := []string{
		"POST /order/o HTTP/1.1\r\nHost: ", "\x16\x03\x01\x02\x00\x01\x00", "GET / HTTP/1.1\r\n\r\n",
		"POST /order/o HTTP/1.1\r\nHost: toy.example\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
		"POST /order/o HTTP/1.1\r\nHost: toy.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n0\r\n\r\nX",
		"POST /order/o HTTP/1.1\r\nHost: toy.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
	}
	_, _ = io.WriteString(connection, texts[random.IntN(len(texts))])
	time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	w.Count("client sent no whole head")
}

// readNothing asks for a stream, and reads none of it for a while.
func (w *world) readNothing(ctx context.Context, connection net.Conn, edge *testbed.Machine, text string, random *rand.Rand) {
	attempt := &Attempt{
		ID: testbed.NewRequestID(), Route: string(draftRoute), Front: edge.Settings.Listen.Front, Method: "POST",
		Path: testbed.DraftPrefix + "d", Body: []byte(text), Prompt: []byte(text), Sent: time.Now(), Left: true,
	}
	defer w.add(attempt)
	_, _ = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Usage: 5,%d\r\nContent-Length: %d\r\n\r\n%s",
		attempt.Path, testbed.Host, attempt.ID, mostTokens, len(text), text)
	clock.Sleep(ctx, time.Duration(random.IntN(400))*time.Millisecond)
	w.Count("client read nothing")
}
