package proxy

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// ORDER: a stream is resumed only at a store whose weights version is that of the stream's last event. The head gives the
// version of the first event, and later events may change it. A stream without events may be retried with any version.
func TestStreamResumesOnlyWithSameWeightsVersion(t *testing.T) {
	newVersion := "versions: 4\nid: 2\ndata: piece 2\n\n"
	for name, test := range map[string]struct {
		events  []string
		second  string
		resumed bool
	}{
		"same version":              {numberedEvents(1, 2), "3", true},
		"another version":           {numberedEvents(1, 2), "4", false},
		"version of the last event": {[]string{numberedEvents(1, 1)[0], newVersion}, "4", true},
		"version of the head only":  {[]string{numberedEvents(1, 1)[0], newVersion}, "3", false},
		"no event forwarded":        {nil, "4", true},
	} {
		t.Run(name, func(t *testing.T) {
			answer := sequence(withVersion("3", streamEvents(false, test.events...)),
				withVersion(test.second, streamEvents(true, numberedEvents(len(test.events)+1, 4)...)))
			store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
			tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
			got := tp.send("POST", "/r/x", "id", "in")
			if !test.resumed {
				assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
				return
			}
			assert.NilError(t, got.err)
			if len(test.events) > 0 {
				assert.Equal(t, got.header.Get("Versions"), "3")
			}
		})
	}
}

// A client's Expect-Version is forwarded. A store that declines the request because its weights have another version is not
// ejected and serves later requests.
func TestVersionMismatchDoesNotEjectStore(t *testing.T) {
	store := newFakeStore(t, "a", withVersion("3", streamEvents(true, numberedEvents(1, 2)...)))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := tp.send("POST", "/s/x", "id-1", "in", "Expect-Version: 4")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, store.requests()[0].header.Get("Expect-Version"), "4")
	got = tp.send("POST", "/s/x", "id-2", "in", "Expect-Version: 3", "X-Deadline-Ms: 500")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, eventText(1, 2))
	assert.Equal(t, got.header.Get("Versions"), "3")
}
