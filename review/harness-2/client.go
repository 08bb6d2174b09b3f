//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// call is one try of a client.
type call struct {
	front, method, path, id, body string
	program, session, previous    string
	budget, tokensOut             int
	finish                        time.Duration // time left until the program's aim
	deadline                      time.Duration
}

// answer is what the client got.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
	err        error
	ended      time.Time
}

// whole says that a stream was answered whole.
func (a answer) whole() bool { return a.err == nil && a.status == http.StatusOK }

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, cut: %v", a.status, a.err)
	}
	return strconv.Itoa(a.status)
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256}}

// send sends one try and reads its answer to the end.
func send(ctx context.Context, c call) answer {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = testbed.Host
	header := request.Header
	header.Set("X-Request-Id", c.id)
	header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.tokensOut > 0 {
		header.Set("X-Model", "m")
		header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", len(c.body)/4+1, c.tokensOut))
	}
	if c.program != "" {
		header.Set("Program", c.program)
		header.Set("Session", c.session)
		header.Set("Finish-Ms", strconv.FormatInt(c.finish.Milliseconds(), 10))
		header.Set("Budget", strconv.Itoa(c.budget))
	}
	if c.previous != "" {
		header.Set("Previous", c.previous)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, ended: time.Now()}
	}
	defer response.Body.Close()
	got := answer{status: response.StatusCode}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	text, err := io.ReadAll(response.Body)
	got.body, got.err, got.ended = string(text), err, time.Now()
	return got
}
