package lifecycle

import (
	"bytes"
	"log/slog"
	"net/textproto"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/audit"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// lockedBuffer collects log lines from any goroutine.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Limits by route apply on both fronts from the start. A reload changes all of them or none and logs what changed. Without
// the file there are none, and an invalid one prevents the start, with all its errors.
func TestLimitsByRoute(t *testing.T) {
	file := t.TempDir() + "/limits.yaml"
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("version: 1\nlimits:\n  routes:\n    - name: bids\n      class: place-bid\n      rate: {per_second: 0.001, burst: 2}\n    - name: pages\n      match: {front: opensearch, index: lots}\n      depth: 5\n")
	logs := &lockedBuffer{}
	dir, level := t.TempDir(), &slog.LevelVar{}
	w := startConfig(t, "opensearch", &OperationsConfig{AgentCheck: "127.0.0.1:0", Health: "127.0.0.1:0"}, func(c *Config) { c.LimitsFile, c.RecordDir, c.Level = file, dir, level })
	w.log = slog.New(slog.NewTextHandler(logs, nil))
	bid := func(id string) int {
		return do(t, w.Addrs()[0], "POST", "/place-bid", textproto.MIMEHeader{"Req-Id": {id}, "Idempotency-Key": {id}, "Req-Deadline": {"3000m"}},
			`{"buckets":[{"bucket":7,"part":1}],"body":"{}"}`).Status
	}
	depth := func() int { return do(t, w.Addrs()[1], "POST", "/lots/_search?size=6", nil, "").Status }
	if a, b, c, d := bid("b1"), bid("b2"), bid("b3"), depth(); a != 200 || b != 200 || c != 503 || d != 400 {
		t.Errorf("two bids and one too many: %d, %d, %d; a page too deep: %d", a, b, c, d)
	}
	p := do(t, w.Addrs()[2], "GET", "/-/limits", nil, "")
	if g := gjson.ParseBytes(p.Body); p.Status != 200 || g.Get("bids.admitted").Int() != 2 || g.Get("bids.refused").Int() != 1 || !g.Get("pages").Exists() {
		t.Errorf("counts: %d %s", p.Status, p.Body)
	}
	write("version: 1\nlimits:\n  routes:\n    - name: bids\n      attempts: 9\n      rate: {per_second: 0}\n")
	w.Reload(w.file)
	if got := depth(); got != 400 || !strings.Contains(logs.String(), "limits.yaml:5:17: limits.routes[0].attempts") || !strings.Contains(logs.String(), "rate.per_second") {
		t.Errorf("a bad file: %d\n%s", got, logs)
	}
	write("version: 1\nlogging: {level: debug}\nlimits:\n  routes:\n    - name: bids\n      class: place-bid\n      attempts: 2\n      rate: {per_second: 1000, burst: 50}\n")
	w.Reload(w.file)
	if a, d := bid("b4"), depth(); a != 200 || d != 200 {
		t.Errorf("wider limits: bid %d, page %d\n%s", a, d, logs)
	}
	for _, line := range []string{`route \"bids\": rate.per_second is 1000, was 0.001`, `route \"bids\": attempts is 2, was not set`, `route \"pages\" is gone`} {
		if !strings.Contains(logs.String(), line) {
			t.Errorf("the log lacks %s:\n%s", line, logs)
		}
	}
	if level.Level() != slog.LevelDebug {
		t.Errorf("level %v", level.Level())
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	w.Reload(w.file)
	if got := w.core.LimiterCounts(); len(got) != 0 {
		t.Errorf("without the file: %v", got)
	}
	w.Drain()
	a := audit.New()
	if _, err := record.Read(dir, func(e record.Entry) error { a.Add(e); return nil }); err != nil {
		t.Fatal(err)
	}
	if r := a.Report(); len(r.Violations) > 0 || r.Requests < 7 || r.Rejected != 1 || r.Open != 0 || r.Attempts < 4 {
		t.Errorf("the record: %+v", r)
	}
	write("version: 2\nlimits: []\n")
	c := w.config
	c.LimitsFile, c.RecordDir = file, ""
	if _, err := Start(c, nil, nil, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), ":1:10: version: is 2") || !strings.Contains(err.Error(), ":2:9: limits: wants members") {
		t.Errorf("started with a bad file: %v", err)
	}
}

// Without a file of limits, as on the platform, there are none.
func TestNoLimitsWithoutFile(t *testing.T) {
	if _, err := os.Stat("../../../deploy/pulleygw.yaml"); !os.IsNotExist(err) {
		t.Error("deploy/pulleygw.yaml is there")
	}
	w := start(t, "frames")
	if got := w.core.LimiterCounts(); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
