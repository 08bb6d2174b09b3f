package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/gjson"
)

// A burst of one event is sampled, other events are not, and the level may change while it runs.
func TestSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		level := &slog.LevelVar{}
		l := New(Config{Out: &out, Format: JSON, Level: level, MaxLines: 5, Span: time.Second}).With("name", "n1")
		for range 100 {
			l.Info("connection ended", "store", 3)
		}
		l.Warn("ready")
		l.Debug("never")
		time.Sleep(time.Second)
		l.Info("connection ended", "store", 4)
		level.Set(slog.LevelDebug)
		l.Debug("seen")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 9 {
			t.Fatalf("%d lines:\n%s", len(lines), out.String())
		}
		if x := gjson.Parse(lines[6]); x.Get("event").Str != "left out" || x.Get("of").Str != "connection ended" || x.Get("lines").Int() != 95 || x.Get("level").Str != "WARN" {
			t.Errorf("%s", lines[6])
		}
		if x := gjson.Parse(lines[7]); x.Get("event").Str != "connection ended" || x.Get("store").Int() != 4 || x.Get("name").Str != "n1" {
			t.Errorf("%s", lines[7])
		}
	})
	var out bytes.Buffer
	New(Config{Out: &out, Format: Console, Level: &slog.LevelVar{}}).Info("list", "store", 1)
	if !strings.Contains(out.String(), "event=list store=1") {
		t.Error(out.String())
	}
	if _, err := ParseLevel("loud"); err == nil {
		t.Error("a level of no kind")
	}
}
