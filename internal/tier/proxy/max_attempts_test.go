package proxy

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// BUDGET: a request is executed no more often than its route's maxAttempts (2), however the attempts fail and however many
// stores decline the request in between.
func TestExecutionsNeverExceedMaxAttempts(t *testing.T) {
	declined, noResponse := reply(503, "", "X-Not-Executed: 1"), closeAfter("")
	truncatedStream := streamEvents(false, numberedEvents(1, 2)...)
	for name, test := range map[string]struct {
		path     string
		scripts  []script
		declined int
		executed int
	}{
		"failed and declined":         {"/i/x", []script{declined, noResponse, declined, noResponse, reply(200, "")}, 2, 2},
		"server errors":               {"/i/x", []script{reply(500, ""), reply(500, ""), reply(200, "")}, 0, 2},
		"status without guarantee":    {"/i/x", []script{reply(503, ""), reply(429, ""), reply(200, "")}, 0, 2},
		"stream that is resumed once": {"/r/x", []script{truncatedStream, streamEvents(false, numberedEvents(3, 4)...), streamEvents(true)}, 0, 2},
		"stream resumed elsewhere":    {"/r/x", []script{declined, truncatedStream, declined, streamEvents(false), streamEvents(true)}, 2, 2},
		"stream without events":       {"/r/x", []script{streamEvents(false), streamEvents(false), streamEvents(true)}, 0, 2},
		"stream not resumable":        {"/s/x", []script{declined, streamEvents(false), streamEvents(true)}, 1, 1},
		"request not idempotent":      {"/n/x", []script{declined, noResponse, reply(200, "")}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			answer := sequence(test.scripts...)
			var stores []*fakeStore
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				stores = append(stores, newFakeStore(t, id, answer))
			}
			tp := newTestProxy(t, longTimeout, stores, nil)
			if test.path == "/r/x" || test.path == "/s/x" {
				tp = newTestProxy(t, longTimeout, nil, stores)
			}
			got := tp.send("POST", test.path, "id", "in")
			assert.Assert(t, got.status >= 500 || errors.Is(got.err, io.ErrUnexpectedEOF), "%d %v", got.status, got.err)
			sends := 0
			for _, store := range stores {
				sends += len(store.requests())
			}
			assert.Equal(t, sends-test.declined, test.executed)
		})
	}
}
