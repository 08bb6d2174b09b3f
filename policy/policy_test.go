package policy

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// The same seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func() (all []decision.Action) {
		b := newFixture(t, baseSettings(), 0, 1, 2, 0, 1, 2)
		for i := range 300 {
			b.query(i%4, 2*time.Second, i%3, (i+1)%3)
			b.now += 7 * ms
			for j := len(b.sends) - 8; j < len(b.sends); j += 3 {
				if j >= 0 {
					b.outcome(b.sends[j], []decision.Status{decision.OK, decision.OK, decision.Error, decision.TimedOut}[j%4])
				}
			}
			all = append(all, b.actions...)
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs differ")
	}
}

// No line of the package has more than 110 characters, and no function more than 50 lines that are not blank.
func TestLinesAndFunctionsAreShort(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		inFunction := 0
		for at, line := range strings.Split(string(text), "\n") {
			if l := len([]rune(line)); l > 110 {
				t.Errorf("%s: line %d has %d characters", name, at+1, l)
			}
			if strings.HasPrefix(line, "func ") {
				inFunction = 0
			}
			if strings.TrimSpace(line) != "" {
				inFunction++
			}
			if line == "}" && inFunction > 50 {
				t.Errorf("%s: the function that ends at line %d has %d lines, want 50 at most", name, at+1, inFunction)
			}
		}
	}
}

// Histograms and the distribution assumed before any answer do not depend on where the host's clock starts. The epoch
// of an empty histogram is not set, so that weights relative to it overflow if the clock starts late.
func TestClockOrigin(t *testing.T) {
	for _, start := range []time.Duration{0, 300 * time.Hour} {
		sched, _ := New(baseSettings(), 7)
		sched.Step(start+time.Second, []decision.Event{decision.ServerList{Kind: decision.Cached, Servers: []decision.ServerInfo{{ID: 1, State: decision.Ready}}}})
		if sched.PoolMedian <= 0 || sched.PoolMedian > 0.5 {
			t.Errorf("clock from %v: the initial median is %v s, want above 0 and at most 0.5 s", start, sched.PoolMedian)
		}
		sched.Pool.Add(start+time.Second, 0.05)
		sched.SurveyPool()
		if cdf := sched.CDF(sched.Servers[1]); !(cdf[len(cdf)-1] > 0.99) {
			t.Errorf("clock from %v: the CDF of a server without answers ends at %v, want 1", start, cdf[len(cdf)-1])
		}
	}
}

// A scheduler that was stalled and then gets many outcomes at once blames no server for the delay, counts no missed
// deadline for subqueries that were queued meanwhile, and sends no burst of hedged requests.
func TestSchedulerStall(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	b.warmUp(30, 50*ms)
	lat, missed := b.sched.Servers[1].Latency, b.sched.Missed.Sum
	for range 8 { // more than the caps allow in flight, so that some are queued
		b.query(0, 4*time.Second, 0, 1, 2)
	}
	b.run(20 * ms)
	b.now += 900 * ms
	b.nextID++
	out, sends := append([]sent(nil), b.sends...), len(b.sends)
	var ev []decision.Event
	for _, s := range out[:len(out)-3] {
		ev = append(ev, decision.Outcome{Subquery: s.Subquery, Server: s.Server, Attempt: s.attempt, Status: decision.OK, Latency: 50 * ms})
	}
	b.step(ev...)
	if got := b.sched.Servers[1].Latency; got > 2*lat {
		t.Errorf("latency %v after the stall, %v before", got, lat)
	}
	if b.sched.Missed.Sum > missed {
		t.Errorf("%v missed deadlines counted for our own stall", b.sched.Missed.Sum-missed)
	}
	for _, s := range b.sends[sends:] {
		if s.attempt > 0 {
			t.Error("hedged request sent in the late step")
		}
	}
}

// The memory of a long-lived instance with changing servers is bounded: deregistered servers, old counts and old
// fingerprints are dropped.
func TestMemoryIsBounded(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	for i := range 200 {
		id := decision.ServerID(100 + i)
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: id, Cell: 1, State: decision.Ready, Nominal: 1}}})
		for range 10 {
			k := len(b.sends)
			b.query(0, 4*time.Second, 0, 1)
			b.run(50 * ms)
			for _, s := range append([]sent(nil), b.sends[k:]...) {
				b.outcome(s, decision.OK)
			}
		}
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: id, Cell: 1, State: decision.Deregistered, Nominal: 1}}})
		b.sends = nil
	}
	b.sched.Poisoned[1] = b.now - time.Hour
	b.run(time.Minute)
	b.query(0, 4*time.Second, 0)
	b.run(200 * ms)
	if n := len(b.sched.Servers); n > 10 || len(b.sched.SortedServers) != n {
		t.Errorf("%d servers and %d in order after 200 were deregistered, want at most 10 and as many", n, len(b.sched.SortedServers))
	}
	if n := len(b.sched.Received.Times); n > 1000 {
		t.Errorf("%d entries of received queries, want only those of the last span", n)
	}
	if n := len(b.sched.Poisoned); n > 0 {
		t.Errorf("%d old fingerprints kept", n)
	}
}

// New settings apply to queries that arrive after them. Queries in progress keep their MaxAttempts.
func TestSettingsChanged(t *testing.T) {
	b := newFixture(t, baseSettings(), 0, 1, 2)
	_, before := b.query(0, 4*time.Second, 0)
	set := baseSettings()
	set.MaxAttempts = 1
	set.Classes = append(set.Classes, set.Classes[0])
	b.step(decision.SettingsChanged{Settings: set})
	_, after := b.query(len(set.Classes)-1, 4*time.Second, 0)
	for i := 0; i < len(b.sends); i++ {
		b.now += 10 * ms
		b.outcome(b.sends[i], decision.Error)
	}
	if b.attempts[before[0]] != 3 || b.attempts[after[0]] != 1 {
		t.Errorf("%d attempts of a subquery from before the change, %d of one from after, want 3 and 1", b.attempts[before[0]], b.attempts[after[0]])
	}
}

// A successor continues with the records of its predecessor: it assumes no initial distribution, and servers that
// failed or were in slow start still do so.
func TestSuccessorAdoptsRecords(t *testing.T) {
	old := newFixture(t, baseSettings(), 0, 1, 2)
	old.warmUp(60, 50*ms)
	old.sched.recordOutcome(old.sched.Servers[2], false, 1)
	old.sched.Servers[3].SlowStartFrom = old.now
	successor := newFixture(t, baseSettings(), 0, 1, 2)
	successor.now += time.Hour
	successor.step(decision.Learned{Records: append(old.sched.Records(), decision.Record{Server: 9}, decision.Record{Server: 1, LatencyCounts: []float64{1}})})
	successor.step()
	sched := successor.sched
	if sched.PoolMedian != old.sched.PoolMedian || sched.Servers[1].Latency != old.sched.Servers[1].Latency || sched.Servers[2].FailureRate == 0 || sched.slowStartShare(sched.Servers[3]) > 0.21 {
		t.Errorf("median latency %v, want %v; latency of server 1 %v; failure rate of server 2 %v; slow start of server 3 %v", sched.PoolMedian, old.sched.PoolMedian,
			sched.Servers[1].Latency, sched.Servers[2].FailureRate, sched.slowStartShare(sched.Servers[3]))
	}
}
