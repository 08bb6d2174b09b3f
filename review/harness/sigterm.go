//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Figures of the case; timeoutMs, the deadline, the number of events and the longest pause are those of the site file.
const (
	streams       = 8
	streamTokens  = 33 // 11 events
	eventPause    = 400 * time.Millisecond
	streamTimeout = 5 * time.Second
	graceS        = 8 * time.Second
	lateAfter     = 3 * time.Second // a request that is sent later than this after the SIGTERM has no excuse
)

// playTerm stops an edge while clients take streams through it, one after the other on one kept connection each.
func playTerm(ctx context.Context, b *bench) error {
	configuration := testbed.ExampleConfiguration(1)
	for i := range configuration.Routes {
		configuration.Routes[i].TimeoutMs = int(streamTimeout.Milliseconds())
	}
	layout := testbed.Layout{Zones: []string{"cheonan-yard", "nonsan-yard", "cheongju-dc"}, Edges: 3, Coordinators: 3, TurnStores: 3}
	if err := b.startTier(ctx, layout, func(*testbed.Machine) {}, configuration); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // in touch: calm for contactMs and more
	edge := b.tier.Edges[0]
	terminateAt := time.Now().Add(2 * time.Second)
	var group sync.WaitGroup
	var lost, first atomic.Int64
	for client := range streams {
		group.Go(func() {
			connection := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
			defer connection.CloseIdleConnections()
			time.Sleep(time.Until(terminateAt.Add(-1200*time.Millisecond + time.Duration(client)*100*time.Millisecond)))
			if b.stream(ctx, connection, client, 1, terminateAt).whole {
				first.Add(1)
			}
			if second := b.stream(ctx, connection, client, 2, terminateAt); second.lost {
				lost.Add(1)
			}
		})
	}
	time.Sleep(time.Until(terminateAt))
	if *trouble {
		edge.Signal(syscall.SIGTERM)
		b.say("SIGTERM to %s", edge.Settings.NodeName)
		go func() {
			time.Sleep(graceS)
			edge.Kill()
			b.say("SIGKILL to what still runs of %s", edge.Settings.NodeName)
		}()
	}
	group.Wait()
	b.say("first streams answered whole: %d of %d", first.Load(), streams)
	b.say("streams that were sent later than 3 s after the SIGTERM, passed on to a server and cut: %d", lost.Load())
	switch {
	case first.Load() < streams:
		return errors.New("a first stream was not answered whole")
	case lost.Load() > 0:
		return errBroken
	}
	return nil
}

// streamResult is how a stream ended.
type streamResult struct{ whole, lost bool }

// stream takes one stream on a client's connection. It is lost if the rule counts it.
func (b *bench) stream(ctx context.Context, client *http.Client, number, turn int, terminateAt time.Time) streamResult {
	id := testbed.NewRequestID()
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(ctx, trace), streamTimeout)
	defer cancel()
	body := []byte(fmt.Sprintf("client %d turn %d", number, turn))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.tier.Fronts()[0]+testbed.TalkPrefix+"x", bytes.NewReader(body))
	if err != nil {
		return streamResult{}
	}
	request.Host = testbed.Host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": fmt.Sprint(streamTimeout.Milliseconds()), "X-Token-Usage": fmt.Sprint("4,", streamTokens),
		"X-Model": "m", "Program": id, "Session": id, "Finish-Ms": "20000", "X-Run-Delay-Ms": fmt.Sprint(eventPause.Milliseconds()),
	} {
		request.Header.Set(name, value)
	}
	sent := time.Now()
	status, events := 0, 0
	response, err := client.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		status, events = response.StatusCode, bytes.Count(text, []byte("\n\n"))
		_ = response.Body.Close()
	}
	ended := time.Now()
	ran := b.ran(id)
	after := sent.Sub(terminateAt)
	lost := err != nil && ran && *trouble && after > lateAfter && ended.Sub(sent) < streamTimeout-100*time.Millisecond
	b.say("client %d stream %d: id %s, sent %.2f s after the SIGTERM, kept connection: %v; answer %d with %d events after %.2f s, whole: %v (%v); run by a server: %v; lost: %v",
		number, turn, id, after.Seconds(), reused, status, events, ended.Sub(sent).Seconds(), err == nil, err, ran, lost)
	return streamResult{whole: err == nil && status == http.StatusOK, lost: lost}
}
