package lifecycle

import (
	"fmt"
	"net/textproto"
	"slices"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

// startRing starts a daemon among six fake lot stores in a ring, each of which holds two shards.
func startRing(t *testing.T, s *testbed.Script) *Daemon {
	t.Helper()
	return startRingOf(t, func(int) *testbed.Script { return s })
}

// startRingOf gives each store a script of its own.
func startRingOf(t *testing.T, script func(store int) *testbed.Script) *Daemon {
	t.Helper()
	var hosts []string
	for i := range 6 {
		l := testbed.Listen(t)
		go testbed.Frames(l, script(i))
		hosts = append(hosts, testbed.Host(fmt.Sprint("r-", i), l.Addr().String(), []string{"east", "middle", "west"}[i%3], i, "ready"))
	}
	d, _ := startSettings(t, "testdata/ring.json", testbed.List(1, hosts...), nil, nil, func(*Config) {})
	return d
}

// query sends one query for all six shards of the ring.
func query(t *testing.T, d *Daemon, id, class string) (status int, body gjson.Result) {
	t.Helper()
	var buckets []string
	for i := range 6 {
		buckets = append(buckets, fmt.Sprintf(`{"bucket":%d,"part":%v}`, i, 1/6.0))
	}
	p := do(t, d.Addrs()[0], "POST", "/"+class, textproto.MIMEHeader{"Req-Id": {id}, "Req-Deadline": {"10000m"}, "Idempotency-Key": {"k" + id}},
		fmt.Sprintf(`{"buckets":[%s],"body":"all"}`, strings.Join(buckets, ",")))
	return p.Status, gjson.ParseBytes(p.Body)
}

// A class with a second step is answered by its values alone, from the shards with the best scores; one without is not
// affected by it.
func TestSecondStepOnSockets(t *testing.T) {
	s := &testbed.Script{Fetch: 3}
	d := startRing(t, s)
	best := []int{0, 1, 2, 3, 4, 5}
	slices.SortFunc(best, func(a, b int) int { return testbed.Score(b) - testbed.Score(a) })
	best = best[:3]
	slices.Sort(best)
	status, body := query(t, d, "r1", "flight-report")
	found := map[int]string{}
	for _, f := range body.Get("found").Array() {
		found[int(f.Get("bucket").Int())] = f.Get("item").Str
	}
	want := map[int]string{}
	for _, n := range best {
		want[n] = testbed.LoadValue(n)
	}
	if status != 200 || !body.Get("finished").Bool() || fmt.Sprint(found) != fmt.Sprint(want) {
		t.Errorf("%d %s, want %v", status, body.Raw, want)
	}
	for _, l := range s.Loads() {
		if !strings.Contains(l, ",from=0+1+2+3+4+5,whole=1") {
			t.Errorf("a part of the second step tells %q", l)
		}
	}
	if status, body := query(t, d, "r2", "pax-lookup"); status != 200 || body.Get("found.#").Int() != 6 || body.Get("found.0.item").Str != testbed.Value(0) {
		t.Errorf("%d %s", status, body.Raw)
	}
	if n := len(s.Loads()); n != 3 {
		t.Errorf("%d parts of second steps", n)
	}
}

// In a ring a shard is sent to the store where it begins and to the next one, and to no other, in zones that may have a
// replica of it or none. A class without partial answers fails or is rejected when no replica of a shard answers.
func TestRing(t *testing.T) {
	scripts := make([]*testbed.Script, 6)
	for i := range scripts {
		scripts[i] = &testbed.Script{}
	}
	d := startRingOf(t, func(i int) *testbed.Script { return scripts[i] })
	for n := range 12 {
		if status, body := query(t, d, fmt.Sprint("r", n), "pax-lookup"); status != 200 || !body.Get("finished").Bool() {
			t.Errorf("%d %s", status, body.Raw)
		}
	}
	asked := map[int]int{}
	for i, s := range scripts {
		for shard, n := range s.Attempts() {
			if asked[shard] += n; i != shard && i != (shard+1)%6 {
				t.Errorf("store %d is asked for shard %d", i, shard)
			}
		}
	}
	if len(asked) != 6 {
		t.Errorf("asked of shards %v", asked)
	}
	fault := []testbed.End{testbed.Fault, testbed.Fault, testbed.Fault}
	scripts[2].Set(map[int][]testbed.End{2: fault})
	scripts[3].Set(map[int][]testbed.End{2: fault})
	if status, body := query(t, d, "none", "pax-lookup"); status == 200 {
		t.Errorf("%d %s", status, body.Raw)
	}
	if n := scripts[2].Attempts()[2] + scripts[3].Attempts()[2]; n < 2 || n > 3 { // each holder, and no more than are allowed
		t.Errorf("%d attempts of the shard without a sound holder", n)
	}
}

// Lot stores that send no score, or an unreadable one, fail the query that needs it, and no other.
func TestNoScoreOnSockets(t *testing.T) {
	for _, score := range []string{"-", "nan", "1e999", "0x"} {
		s := &testbed.Script{Fetch: 3, Scores: func(int) string { return score }}
		d := startRing(t, s)
		if status, body := query(t, d, "r1", "flight-report"); status == 200 || len(s.Loads()) > 0 {
			t.Errorf("score %q: %d %s, %d parts of a second step", score, status, body.Raw, len(s.Loads()))
		}
		if status, body := query(t, d, "r2", "pax-lookup"); status != 200 {
			t.Errorf("score %q: then %d %s", score, status, body.Raw)
		}
	}
}
