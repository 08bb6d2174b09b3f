package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

var classes = []limits.Class{
	{Name: "lot-search", LatencyTarget: 1200 * time.Millisecond, Timeout: 3 * time.Second, Attempts: 4, Floor: 0.7},
	{Name: "place-bid", Effect: limits.Deduplicated, LatencyTarget: 1500 * time.Millisecond, Timeout: 4 * time.Second, Window: 4 * time.Second, Attempts: 4, Floor: 1},
}

// Each invalid file is rejected with all its errors, each with its line and rule; the valid one loads.
func TestInvalidFiles(t *testing.T) {
	files, err := os.ReadDir("testdata")
	if err != nil {
		t.Fatal(err)
	}
	bad := 0
	for _, f := range files {
		if f.IsDir() {
			continue
		}
		text, err := os.ReadFile("testdata/" + f.Name())
		if err != nil {
			t.Fatal(err)
		}
		var want []string // "line N: text", from comments at the lines' ends
		for n, line := range strings.Split(string(text), "\n") {
			if _, rule, ok := strings.Cut(line, "# !"); ok {
				for _, one := range strings.Split(rule, "!") {
					want = append(want, fmt.Sprintf("%d: %s", n+1, strings.TrimSpace(one)))
				}
			}
		}
		_, err = Parse(f.Name(), text, classes)
		var faults FieldErrors
		if errors.As(err, &faults); len(faults) != len(want) {
			t.Errorf("%s: %d faults, want %d:\n%v", f.Name(), len(faults), len(want), err)
			continue
		}
		for i, w := range want {
			line, rule, _ := strings.Cut(w, ": ")
			if fmt.Sprint(faults[i].Line) != line || !strings.Contains(faults[i].Error(), rule) || faults[i].Column < 1 {
				t.Errorf("%s: fault %v, want line %s", f.Name(), faults[i], w)
			}
		}
		if len(want) > 0 {
			bad++
		}
	}
	if bad < 10 {
		t.Errorf("%d bad files", bad)
	}
}

// The valid file is read as written, with anchors and merge keys too; JSON is accepted as well.
func TestValidFile(t *testing.T) {
	c, err := Load("testdata/good.yaml", classes)
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Limits.Routes) != 3 || c.Limits.Retries.Ratio != 0.3 {
		t.Fatalf("%+v", c.Limits)
	}
	r := c.Limits.Table.Find(&limits.Request{Front: "opensearch", Method: "POST", Index: "lots-2026"}, "lot-search")
	if r == nil || r.Name != "dealers" || r.Limits.Concurrency.Max != 20 || r.Limits.MaxBody != 16<<10 || r.Limits.Timeout != 2*time.Second || r.Limits.Rate.PerSecond != 50 {
		t.Errorf("%+v", r)
	}
	if r := c.Limits.Table.Find(&limits.Request{Front: "platform"}, "place-bid"); r == nil || r.Name != "bids" || r.Limits.Attempts != 2 {
		t.Errorf("%+v", r)
	}
	if _, err := Parse("x.json", []byte(`{"version": 1, "limits": {"routes": [{"name": "a", "match": {"index": "lots"}, "attempts": 2}]}}`), classes); err != nil {
		t.Error(err)
	}
	if c, err := Load("testdata/nothing", classes); c != nil || err != nil {
		t.Errorf("%v %v", c, err)
	}
}

func feed(b []byte) error {
	_, err := Parse("f", b, classes)
	return err
}

// Truncated and corrupt files get errors with positions, and never more.
func TestGarbage(t *testing.T) {
	text, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		t.Fatal(err)
	}
	proptest.CheckParser(t, false, feed, string(text))
}

func FuzzConfig(f *testing.F) {
	text, err := os.ReadFile("testdata/good.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(_ *testing.T, b []byte) {
		begin := time.Now()
		_ = feed(b)
		if d := time.Since(begin); d > time.Second {
			panic(fmt.Sprintf("%v for %q", d, b))
		}
	})
}
