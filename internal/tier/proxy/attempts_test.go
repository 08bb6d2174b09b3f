package proxy

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// BUDGET: a try runs on no more stores than its route's maxAttempts (2), in whatever way they fail it and however many
// decline it in between.
func TestTryRunsOnNoMoreStoresThanMaxAttempts(t *testing.T) {
	declined, broken := whole(503, "", "X-Not-Executed: 1"), cut("")
	streamBroken := events(false, numbered(1, 2)...)
	for name, test := range map[string]struct {
		path     string
		scripts  []script
		declined int
		ran      int
	}{
		"broken and declined":         {"/i/x", []script{declined, broken, declined, broken, whole(200, "")}, 2, 2},
		"failures":                    {"/i/x", []script{whole(500, ""), whole(500, ""), whole(200, "")}, 0, 2},
		"promise that is none":        {"/i/x", []script{whole(503, ""), whole(429, ""), whole(200, "")}, 0, 2},
		"stream that is resumed once": {"/r/x", []script{streamBroken, events(false, numbered(3, 4)...), events(true)}, 0, 2},
		"stream resumed elsewhere":    {"/r/x", []script{declined, streamBroken, declined, events(false), events(true)}, 2, 2},
		"stream before its events":    {"/r/x", []script{events(false), events(false), events(true)}, 0, 2},
		"stream that may run once":    {"/s/x", []script{declined, events(false), events(true)}, 1, 1},
		"call that may run once":      {"/n/x", []script{declined, broken, whole(200, "")}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			answer := inTurn(test.scripts...)
			var stores []*standIn
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				stores = append(stores, newStandIn(t, id, answer))
			}
			b := newBench(t, longTimeout, stores, nil)
			if test.path == "/r/x" || test.path == "/s/x" {
				b = newBench(t, longTimeout, nil, stores)
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
