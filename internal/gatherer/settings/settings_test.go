package settings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

func TestSettings(t *testing.T) {
	if _, err := Parse([]byte("{nonsense")); err == nil {
		t.Error("took settings that are not JSON")
	}
	all, err := Parse([]byte(`{"siblings":3,"unknownKey":{"a":1},"tickUs":5000,"discovery":"ask",
		"classes":[{"effect":"keyed","onTimeUs":1000000,"memorySpanUs":500000,"worth":2}],
		"rules":{"extraPerRequest":0.05,"budgetFree":5}}`))
	if err != nil {
		t.Fatal(err)
	}
	s := all.Policy
	c := s.Classes[0]
	if !s.Polling || !s.Rules.BudgetEnabled || s.Rules.BudgetFree != 5 || c.CompleteFraction != 1 || c.PartialFraction != 1 || c.Fetch != 0 {
		t.Errorf("settings %+v", s)
	}
}

// whole has every key that a daemon needs; place-bid's line is put in.
const whole = `{"siblings":2,"tickUs":5000,"discovery":"push","zones":["a"],"classes":[
	{"name":"lot-search","onTimeUs":1200000,"deadlineUs":3000000,"effect":"safe","worth":3},%s],
	"familyInfo":{"batch":8,"callUs":46000,"completeFrom":[1,1],"leastShare":[0.7,1],"fetchParts":[0,0],"positions":6,"width":1,"shards":24},
	"limits":{"cancel":true,"secondCopies":false,"probes":true,"maxAttempts":4,"maxRetryAfterUs":500000,"retryAfter":true,
		"openCap":297,"streamsPerConn":32,"connIdleUs":15000000,"connectTimeoutUs":250000},
	"rules":{"startCapacity":0.15,"rampTimeUs":17000000,"fallMultiple":3,"fallUs":1500000}}`

const bid = `{"name":"place-bid","onTimeUs":1500000,"deadlineUs":4000000,"effect":"keyed","memorySpanUs":4000000,"worth":2}`

func parse(t *testing.T, text string) Settings {
	t.Helper()
	s, err := ParseDaemon([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A daemon accepts no incomplete settings: each key that it reads must be there, and the error names it.
func TestParseDaemon(t *testing.T) {
	good := fmt.Sprintf(whole, bid)
	proptest.CheckParser(t, true, func(b []byte) error { _, err := ParseDaemon(b); return err }, good)
	for _, path := range required {
		text, err := without(good, path)
		if err != nil {
			t.Fatal(path, err)
		}
		if _, err := ParseDaemon([]byte(text)); err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("without %s: %v", path, err)
		}
	}
	for old, x := range map[string][2]string{`"deadlineUs":4000000,`: {``, "classes[1].deadlineUs"}, `"deadlineUs":3000000`: {`"deadlineUs":0`, "classes[0].deadlineUs"},
		`"fallUs":1500000`: {`"fallUs":1500000,"drainGraceUs":-1`, "rules.drainGraceUs"},
		`"maxAttempts":4`:  {`"maxAttempts":0`, "limits.maxAttempts"}, `"effect":"keyed",`: {``, "classes[1].effect"}, `"name":"lot-search"`: {`"name":"place-bid"`, "classes[1].name"}} {
		if _, err := ParseDaemon([]byte(strings.Replace(good, old, x[0], 1))); err == nil || !strings.Contains(err.Error(), x[1]) {
			t.Errorf("%s to %s: %v", old, x[0], err)
		}
	}
}

// without removes the key at the end of a path from an object.
func without(text, path string) (string, error) {
	var root map[string]any
	if err := json.Unmarshal([]byte(text), &root); err != nil {
		return "", err
	}
	in, key := root, path
	if a, b, ok := strings.Cut(path, "."); ok {
		in, key = root[a].(map[string]any), b
	}
	delete(in, key)
	b, err := json.Marshal(root)
	return string(b), err
}

// Numbers of classes are never reused: an unchanged class keeps its own, a changed or new one gets another, and those
// dropped keep their rules for requests in flight.
func TestOver(t *testing.T) {
	first := parse(t, fmt.Sprintf(whole, bid))
	second, _ := parse(t, fmt.Sprintf(whole, strings.Replace(bid, "place-bid", "bid-status", 1))).Over(first)
	if second.Class("lot-search") != 0 || second.Class("place-bid") != -1 || second.Class("bid-status") != 2 || second.Class("") != -1 {
		t.Errorf("a class exchanged: %+v", second.Classes)
	}
	if second.Policy.Classes[1] != first.Policy.Classes[1] {
		t.Error("the rules of a dropped class changed")
	}
	changed := strings.NewReplacer(`"effect":"keyed"`, `"effect":"safe"`, `"maxAttempts":4`, `"maxAttempts":2`, `"shards":24`, `"shards":12`)
	third, kept := parse(t, changed.Replace(fmt.Sprintf(whole, bid))).Over(second)
	if n := third.Class("place-bid"); n != 4 || third.Policy.Classes[n].MaxAttempts != 2 || third.Policy.Classes[n].Effect != decision.Idempotent ||
		third.Policy.Classes[1].MaxAttempts != 4 || third.Class("lot-search") != 3 {
		t.Errorf("effect and attempts changed: %+v %+v", third.Classes, third.Policy.Classes)
	}
	if !slices.Equal(kept, []string{"familyInfo.shards"}) || third.Shards != 24 {
		t.Errorf("kept %v, %d shards", kept, third.Shards)
	}
}

// The time-out of a write to a lot store that does not read is within each time that runs meanwhile.
func TestWriteFor(t *testing.T) {
	for _, x := range []struct{ connect, grace, want time.Duration }{
		{250 * time.Millisecond, 0, disconnectMargin}, {250 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{250 * time.Millisecond, 2 * time.Second, disconnectMargin}, {20 * time.Millisecond, 2 * time.Second, 80 * time.Millisecond},
	} {
		if got := (Settings{ConnectTimeout: x.connect, DrainGrace: x.grace}).WriteFor(); got != x.want {
			t.Errorf("connects within %v, drains within %v: %v, want %v", x.connect, x.grace, got, x.want)
		}
	}
}
