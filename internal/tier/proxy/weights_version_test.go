package proxy

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// withVersion answers with a stream that begins with a version of the weights, or 421 where another one is expected.
func withVersion(version string, answer script) script {
	return func(connection net.Conn, got receivedRequest) bool {
		if expected := got.header.Get("Expect-Version"); expected != "" && expected != version {
			return reply(421, "", "X-Not-Executed: 1", "Versions: "+version)(connection, got)
		}
		return answer(headerInjector{Conn: connection, field: "Versions: " + version + "\r\n"}, got)
	}
}

// headerInjector puts a header field into the head that is written first.
type headerInjector struct {
	net.Conn
	field string
}

func (w headerInjector) Write(text []byte) (int, error) {
	const status = "HTTP/1.1 200 Any\r\n"
	if len(text) < len(status) || string(text[:len(status)]) != status {
		return w.Conn.Write(text)
	}
	if _, err := io.WriteString(w.Conn, status+w.field); err != nil {
		return 0, err
	}
	written, err := w.Conn.Write(text[len(status):])
	return written + len(status), err
}

// ORDER: a stream goes on only at a store whose weights have the version of its last event, which is that of the head
// or of a later event; the head and the events are passed on as they are.
func TestStreamGoesOnWithTheSameVersion(t *testing.T) {
	changed := "versions: 4\nid: 2\ndata: piece 2\n\n"
	for name, test := range map[string]struct {
		events []string
		second string
		whole  bool
	}{
		"same version":              {numberedEvents(1, 2), "3", true},
		"another version":           {numberedEvents(1, 2), "4", false},
		"version of the last event": {[]string{numberedEvents(1, 1)[0], changed}, "4", true},
		"version of the head only":  {[]string{numberedEvents(1, 1)[0], changed}, "3", false},
		"no event before the break": {nil, "4", true},
	} {
		t.Run(name, func(t *testing.T) {
			answer := sequence(withVersion("3", streamEvents(false, test.events...)),
				withVersion(test.second, streamEvents(true, numberedEvents(len(test.events)+1, 4)...)))
			store, other := newFakeStore(t, "a", answer), newFakeStore(t, "b", answer)
			b := newTestProxy(t, longTimeout, nil, []*fakeStore{store, other})
			got := b.send("POST", "/r/x", "id", "in")
			if !test.whole {
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

// A client's Expect-Version goes to the store; where the store's weights have another version it did not run, and is not
// taken for one that fails.
func TestAnotherVersionIsRefusedAndTheStoreStaysInUse(t *testing.T) {
	store := newFakeStore(t, "a", withVersion("3", streamEvents(true, numberedEvents(1, 2)...)))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	got := b.send("POST", "/s/x", "id-1", "in", "Expect-Version: 4")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, store.requests()[0].header.Get("Expect-Version"), "4")
	got = b.send("POST", "/s/x", "id-2", "in", "Expect-Version: 3", "X-Deadline-Ms: 500")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, eventText(1, 2))
	assert.Equal(t, got.header.Get("Versions"), "3")
}
