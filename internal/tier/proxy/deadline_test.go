package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const shortTimeout = 200 * time.Millisecond

// stalledBody is a body whose rest does not come before the read deadline.
type stalledBody struct{ io.Reader }

func (b stalledBody) Read(into []byte) (int, error) {
	read, err := b.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = os.ErrDeadlineExceeded
	}
	return read, err
}

func (stalledBody) Close() error { return nil }

// deadlineRecorder notes the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	d.deadlines = append(d.deadlines, deadline)
	return nil
}

// CONFIG: a body that does not come whole is waited for no longer than the route's timeout, or the client's patience.
func TestBodyIsWaitedForUntilTheRoutesTimeout(t *testing.T) {
	for name, patience := range map[string]string{"route": "", "client": "150"} {
		t.Run(name, func(t *testing.T) {
			store := newStandIn(t, "a", whole(200, ""))
			b := newBench(t, shortTimeout, []*standIn{store}, nil)
			request := httptest.NewRequest(http.MethodPost, "http://h.example/n/x", nil)
			request.Body = stalledBody{bytes.NewReader([]byte("half"))}
			request.ContentLength = 8
			request.Header.Set("X-Request-Id", "id")
			allowed := shortTimeout
			if patience != "" {
				request.Header.Set("X-Deadline-Ms", patience)
				allowed = 150 * time.Millisecond
			}
			recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			b.proxy.ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, http.StatusRequestTimeout)
			assert.Assert(t, !recorder.deadlines[0].After(time.Now().Add(allowed)), "waits longer than the request has")
			assert.Equal(t, len(store.requests()), 0)
		})
	}
}

// BUDGET: a store is told no more time than the client has, in whatever form the client tells it.
func TestPatienceIsTheClientsOrTheRoutes(t *testing.T) {
	for told, expected := range map[string]time.Duration{
		"":       time.Second,
		"0":      time.Second,
		"-5":     time.Second,
		"soon":   time.Second,
		"NaN":    time.Second,
		"300":    300 * time.Millisecond,
		" 300 ":  300 * time.Millisecond,
		"300.5":  300500 * time.Microsecond,
		"1e300":  time.Second,
		"990000": time.Second,
	} {
		assert.Equal(t, patience(http.Header{"X-Deadline-Ms": {told}}, time.Second), expected, "%q", told)
	}
}
