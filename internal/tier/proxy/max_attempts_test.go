package proxy

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// BUDGET: a try runs on no more stores than its route's maxAttempts (2), in whatever way they fail it and however many
// decline it in between.
func TestTryRunsOnNoMoreStoresThanMaxAttempts(t *testing.T) {
	declined, broken := reply(503, "", "X-Not-Executed: 1"), closeAfter("")
	streamBroken := streamEvents(false, numberedEvents(1, 2)...)
	for name, test := range map[string]struct {
		path     string
		scripts  []script
		declined int
		ran      int
	}{
		"broken and declined":         {"/i/x", []script{declined, broken, declined, broken, reply(200, "")}, 2, 2},
		"failures":                    {"/i/x", []script{reply(500, ""), reply(500, ""), reply(200, "")}, 0, 2},
		"promise that is none":        {"/i/x", []script{reply(503, ""), reply(429, ""), reply(200, "")}, 0, 2},
		"stream that is resumed once": {"/r/x", []script{streamBroken, streamEvents(false, numberedEvents(3, 4)...), streamEvents(true)}, 0, 2},
		"stream resumed elsewhere":    {"/r/x", []script{declined, streamBroken, declined, streamEvents(false), streamEvents(true)}, 2, 2},
		"stream before its events":    {"/r/x", []script{streamEvents(false), streamEvents(false), streamEvents(true)}, 0, 2},
		"stream that may run once":    {"/s/x", []script{declined, streamEvents(false), streamEvents(true)}, 1, 1},
		"call that may run once":      {"/n/x", []script{declined, broken, reply(200, "")}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			answer := sequence(test.scripts...)
			var stores []*fakeStore
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				stores = append(stores, newFakeStore(t, id, answer))
			}
			b := newTestProxy(t, longTimeout, stores, nil)
			if test.path == "/r/x" || test.path == "/s/x" {
				b = newTestProxy(t, longTimeout, nil, stores)
			}
			got := b.send("POST", test.path, "id", "in")
			assert.Assert(t, got.status >= 500 || got.err == io.ErrUnexpectedEOF, "%d %v", got.status, got.err)
			sends := 0
			for _, store := range stores {
				sends += len(store.requests())
			}
			assert.Equal(t, sends-test.declined, test.ran)
		})
	}
}
