package policy

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

const ms = time.Millisecond

// base returns settings with three servers' worth of cells, each shard held by all three.
func base() decision.Settings {
	return decision.Settings{
		Siblings: 1, Tick: 5 * ms, Cells: 3, Width: 3, Batch: 1, MaxAttempts: 3,
		SecondCopies: true, Cancel: true, MaxRetryAfter: time.Second,
		Classes: []decision.Class{
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: decision.Safe, Need: 1, Floor: 1},
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: decision.Keyed, Window: 300 * ms, Need: 1, Floor: 1},
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: decision.Unsafe, Need: 1, Floor: 1},
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: decision.Safe, Need: 1, Floor: 0.5, Fetch: 1},
		},
		Rules: decision.Rules{StartCapacity: 0.2, Ramp: 10 * time.Second, FallMultiple: 2,
			FallSpan: 3 * time.Second},
	}
}

// bed drives a mixer and keeps the books that the rules are judged by.
type bed struct {
	t      *testing.T
	m      *Mixer
	now    time.Duration
	nextID uint64
	finals map[decision.QueryID]int
	last   map[decision.QueryID]decision.Action
	sends  []sent
	tries  map[decision.PartID]int
	owner  map[decision.PartID]decision.QueryID
	acts   []decision.Action
	wake   time.Duration // asked for last
}

type sent struct {
	decision.Send
	at      time.Duration
	attempt int
}

func newBed(t *testing.T, set decision.Settings, cells ...int) *bed {
	m, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, m: m, now: time.Second, finals: map[decision.QueryID]int{}, last: map[decision.QueryID]decision.Action{},
		tries: map[decision.PartID]int{}, owner: map[decision.PartID]decision.QueryID{}}
	var l []decision.ServerInfo
	for i, c := range cells {
		l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: c, State: decision.Ready, Nominal: 1})
	}
	b.step(decision.ServerList{Kind: decision.Cached, Servers: l})
	return b
}

func (b *bed) step(events ...decision.Event) []decision.Action {
	b.acts = append([]decision.Action(nil), b.m.Step(b.now, events)...)
	for _, a := range b.acts {
		switch a := a.(type) {
		case decision.WakeAt:
			b.wake = a.At
		case decision.Send:
			if b.finals[b.owner[a.Part]] > 0 {
				b.t.Errorf("part %d sent after its query's final answer", a.Part)
			}
			b.sends = append(b.sends, sent{a, b.now, b.tries[a.Part]})
			b.tries[a.Part]++
		case decision.Answer:
			if a.Final {
				b.final(a.Query, a)
			}
		case decision.Refuse:
			b.final(a.Query, a)
		case decision.Fail:
			b.final(a.Query, a)
		}
	}
	return b.acts
}

func (b *bed) final(q decision.QueryID, a decision.Action) {
	b.finals[q]++
	b.last[q] = a
	if b.finals[q] > 1 {
		b.t.Errorf("query %d has %d final answers", q, b.finals[q])
	}
}

// query hands over a query with one part for each shard and returns its ID and its parts'.
func (b *bed) query(class int, left time.Duration, shards ...int) (decision.QueryID, []decision.PartID) {
	b.nextID += 100
	q := decision.QueryID(b.nextID)
	ev := []decision.Event{decision.QueryArrived{ID: q, Class: class, Left: left, Parts: len(shards)}}
	var ids []decision.PartID
	for i, s := range shards {
		id := decision.PartID(b.nextID + uint64(i) + 1)
		b.owner[id] = q
		ids = append(ids, id)
		ev = append(ev, decision.PartArrived{ID: id, Query: q, Shard: s, Weight: 1 / float64(len(shards))})
	}
	b.step(ev...)
	return q, ids
}

// run lets time pass in sweeps.
func (b *bed) run(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 10 * ms
		b.step(decision.Wake{})
	}
}

func (b *bed) outcome(s sent, st decision.Status) {
	b.step(decision.Outcome{Part: s.Part, Server: s.Server, Attempt: s.attempt, Status: st, Took: b.now - s.at})
}

// warm answers n one-part queries so that there are records.
func (b *bed) warm(n int, took time.Duration) {
	for range n {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(took)
		for _, s := range b.sends[k:] {
			b.outcome(s, decision.OK)
		}
	}
	b.sends = nil
}

func TestAnswersWholeOnce(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2)
	b.run(50 * ms)
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.OK)
	}
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Whole {
		t.Fatalf("last word %v, want a whole answer", b.last[q])
	}
}

// Time runs out with parts out, held, or never sendable: one final answer, in time.
func TestFinalAnswerInTime(t *testing.T) {
	for name, cells := range map[string][]int{"out": {0, 1, 2}, "no servers": {}} {
		b := newBed(t, base(), cells...)
		q, _ := b.query(0, 500*ms, 0, 1)
		b.run(520 * ms)
		if b.finals[q] != 1 {
			t.Errorf("%s: %d final answers, want 1", name, b.finals[q])
		}
	}
}

// A keyed part that may have run is sent again within its window only, and else fails.
func TestKeyedWindow(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	q, _ := b.query(1, 4*time.Second, 0)
	b.run(400 * ms)
	for _, s := range b.sends {
		if s.at-b.sends[0].at >= 300*ms {
			t.Errorf("attempt sent %v after the first", s.at-b.sends[0].at)
		}
	}
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.Error)
	}
	b.run(100 * ms)
	if _, ok := b.last[q].(decision.Fail); !ok {
		t.Errorf("last word %v, want Fail", b.last[q])
	}
}

// A first attempt that ended in an error still counts when the second is turned away: it may have run.
func TestKeyedErrorThenFull(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	q, _ := b.query(1, 4*time.Second, 0)
	b.run(20 * ms)
	b.outcome(b.sends[0], decision.Error)
	b.run(20 * ms)
	if len(b.sends) != 2 {
		t.Fatalf("%d attempts, want a second within the window", len(b.sends))
	}
	b.run(300 * ms) // past the window
	b.outcome(b.sends[1], decision.Full)
	b.run(20 * ms)
	if len(b.sends) != 2 {
		t.Error("sent again past its window")
	}
	if _, ok := b.last[q].(decision.Fail); !ok {
		t.Errorf("last word %v, want Fail", b.last[q])
	}
}

// An unsafe part goes again only when every attempt is known not to have run.
func TestUnsafe(t *testing.T) {
	for st, want := range map[decision.Status]int{decision.Error: 1, decision.TimedOut: 1, decision.Reset: 1, decision.Cancelled: 1, decision.Full: 2, decision.ConnectFailed: 2} {
		b := newBed(t, base(), 0, 1, 2)
		q, _ := b.query(2, 4*time.Second, 0)
		b.run(20 * ms)
		b.outcome(b.sends[0], st)
		b.run(20 * ms)
		if len(b.sends) != want {
			t.Errorf("status %d: %d attempts, want %d", st, len(b.sends), want)
		}
		if _, refused := b.last[q].(decision.Refuse); refused {
			t.Errorf("status %d: refused though it may have run", st)
		}
	}
}

// A drain heard while parts are queued: nothing new goes there.
func TestDrain(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	for range 12 {
		b.query(0, 4*time.Second, 0, 1, 2)
	}
	n := len(b.sends)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Draining, Nominal: 1}}})
	for i := 0; i < n; i++ {
		b.now += 20 * ms
		b.outcome(b.sends[i], decision.OK)
	}
	b.run(100 * ms)
	for _, s := range b.sends[n:] {
		if s.Server == 2 {
			t.Fatal("sent to a draining server")
		}
	}
	if len(b.sends) == n {
		t.Fatal("nothing was sent after the drain")
	}
}

// Further attempts stay within the stated budget in every window.
func TestBudget(t *testing.T) {
	set := base()
	set.Rules.BudgetOn, set.Rules.BudgetFree, set.Rules.BudgetShare, set.Rules.BudgetSpan = true, 2, 0.05, 10*time.Second
	b := newBed(t, set, 0, 1, 2)
	taken := []time.Duration{}
	for range 300 {
		k := len(b.sends)
		b.query(0, 2*time.Second, 0)
		taken = append(taken, b.now, b.now)
		b.run(50 * ms)
		for _, s := range append([]sent(nil), b.sends[k:]...) {
			b.outcome(s, decision.Error)
		}
	}
	extra := 0
	for _, s := range b.sends {
		if s.attempt == 0 {
			continue
		}
		extra++
		in, ex := 0, 0
		for _, at := range taken {
			if at > s.at-10*time.Second && at <= s.at {
				in++
			}
		}
		for _, o := range b.sends {
			if o.attempt > 0 && o.at >= s.at-10*time.Second && o.at <= s.at {
				ex++
			}
		}
		if float64(ex) > 2+0.05*float64(in) {
			t.Fatalf("%d further attempts by %v with %d taken", ex, s.at, in)
		}
	}
	if extra == 0 {
		t.Fatal("no further attempt was made at all")
	}
}

// A cold server gets no more than this mixer's part of the fall rule.
func TestColdServer(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(60, 50*ms)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready, Nominal: 1, Started: b.now}}})
	for range 60 {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(50 * ms)
		for _, s := range append([]sent(nil), b.sends[k:]...) {
			b.outcome(s, decision.OK)
		}
	}
	n := map[decision.ServerID]int{}
	for _, s := range b.sends {
		n[s.Server]++
	}
	if n[3] == 0 || n[3]*2 > n[1] {
		t.Errorf("cold server was sent %d, a warm one %d", n[3], n[1])
	}
}

// Two steps: floor, whole and the second step are told apart.
func TestTwoStepsAndPartial(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	q, _ := b.query(3, 4*time.Second, 0, 1)
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.run(1000 * ms) // the other stays out: a partial answer saves the aim
	if b.m.Queries[q] == nil || b.m.Queries[q].Step != 2 {
		t.Fatal("no partial first answer by the aim")
	}
	b.owner[999] = q
	k := len(b.sends)
	b.step(decision.PartArrived{ID: 999, Query: q, Shard: 0, Weight: 1})
	b.run(20 * ms)
	for _, s := range append([]sent(nil), b.sends[k:]...) {
		if s.Part == 999 {
			b.outcome(s, decision.OK)
			break
		}
	}
	a, ok := b.last[q].(decision.Answer)
	if !ok || a.Whole {
		t.Errorf("last word %v, want an answer that is not whole", b.last[q])
	}
}

// Fast errors must not make a server look quick: it loses its turns and the queries go elsewhere.
func TestFastErrors(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	lost := 0
	for range 100 {
		k := len(b.sends)
		q, _ := b.query(0, 4*time.Second, 0)
		for range 3 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends[k:]...) {
				if s.Server == 1 {
					b.outcome(s, decision.Error)
				} else if b.now-s.at >= 40*ms {
					b.outcome(s, decision.OK)
				}
			}
		}
		if _, ok := b.last[q].(decision.Answer); !ok {
			lost++
		}
	}
	n := 0
	for _, s := range b.sends {
		if s.Server == 1 {
			n++
		}
	}
	if n > 20 || lost > 5 {
		t.Errorf("failing server was sent %d of %d, %d queries without an answer", n, len(b.sends), lost)
	}
}

// A part at a server that hangs is called off, and goes to another only when that is through: never two at once.
// The others' answers meanwhile, and none from there, tell a hang from a busy moment. So do answers to parts sent
// there later: its own may have been lost with its connection (hanbit-lots silent).
// wakes lets time pass as a host does: a step at each WakeAt and none between.
func (b *bed) wakes(until time.Duration) {
	for b.wake > b.now && b.wake <= until {
		b.now = b.wake
		b.step(decision.Wake{})
	}
}

// With aims of the order of a sweep, an answer in part leaves before the aim, wherever the query came between two
// sweeps: 80 gatherers that swept each 10 ms gave four of five such answers up to 8 ms late, and nearly in vain.
func TestPartInTime(t *testing.T) {
	set := base()
	set.Tick, set.SecondCopies = ms, false
	set.Classes[0] = decision.Class{Aim: 300 * ms, Deadline: time.Second, Worth: 1, Effect: decision.Safe, Need: 1, Floor: 0.5}
	for _, offset := range []time.Duration{1, 3, 7, 9} {
		b := newBed(t, set, 0, 1, 2)
		b.now += 11 * ms
		b.query(0, time.Second, 0) // sweeps from now on
		b.now += offset * ms
		came := b.now
		q, ids := b.query(0, time.Second, 0, 1)
		for _, s := range slices.Clone(b.sends) {
			if s.Part == ids[0] {
				b.outcome(s, decision.OK)
			}
		}
		b.wakes(came + 290*ms)
		if b.finals[q] > 0 {
			t.Fatalf("offset %v: answered in part while the rest could still come", offset)
		}
		b.wakes(came + 299*ms)
		if a, ok := b.last[q].(decision.Answer); !ok || a.Whole {
			t.Errorf("offset %v: no answer in part before the aim", offset)
		}
	}
}

// thin returns settings of one mixer of a large fleet that meets each server seldom: aims ten times an answer's time.
func thin() decision.Settings {
	set := base()
	set.Siblings, set.Tick, set.SecondCopies, set.MaxAttempts = 80, ms, false, 4
	set.Classes = []decision.Class{
		{Aim: 300 * ms, Deadline: time.Second, Worth: 3, Effect: decision.Safe, Need: 1, Floor: 0.7},
		{Aim: 380 * ms, Deadline: 1300 * ms, Worth: 2, Effect: decision.Keyed, Window: 4 * time.Second, Need: 1, Floor: 1},
	}
	return set
}

// A part at a server that went silent is moved while another replica can still answer it in time, though that one
// was not heard from meanwhile: in a thin fleet it was not asked anything. Nor does a bid wait for its client's end.
func TestMovedInTime(t *testing.T) {
	for class, in := range []time.Duration{300 * ms, 380 * ms} {
		b := newBed(t, thin(), 0, 0, 0)
		b.warm(60, 30*ms)
		b.run(3 * time.Second)
		came := b.now
		q, _ := b.query(class, time.Second, 0)
		silent := b.sends[0].Server
		for b.now < came+in && b.finals[q] == 0 {
			b.now += 2 * ms
			b.step(decision.Wake{})
			for _, a := range b.acts {
				if c, ok := a.(decision.Cancel); ok {
					b.outcome(b.sends[c.Attempt], decision.Cancelled)
				}
			}
			if s := b.sends[len(b.sends)-1]; s.Server != silent && b.now-s.at >= 30*ms {
				b.outcome(s, decision.OK)
			}
		}
		if a, ok := b.last[q].(decision.Answer); !ok || !a.Whole {
			t.Errorf("class %d: %d attempts and no answer within the aim", class, len(b.sends))
		}
	}
}

// A server that turned a part away is full for the next one too: its only replica's parts wait for about an answer's
// time, in place of spending all attempts on it at once (a thousand of 80 gatherers in a second, and more in each later).
func TestFullIsLeftAlone(t *testing.T) {
	b := newBed(t, thin(), 0)
	b.warm(60, 30*ms)
	b.query(0, time.Second, 0)
	first := b.sends[0]
	for b.now < first.at+15*ms {
		for _, s := range b.sends[max(len(b.sends)-1, 0):] {
			b.outcome(s, decision.Full)
		}
		b.now += ms
		b.step(decision.Wake{})
	}
	if len(b.sends) > 1 {
		t.Errorf("sent %d times in half the time of an answer", len(b.sends))
	}
	if b.wakes(first.at + 100*ms); len(b.sends) < 2 {
		t.Error("not sent again in three answers' time")
	}
}

// Many that meet a server seldom keep it full if each comes again at once: its queue then holds more than clients wait for,
// and it answers nobody. One that turned a part away is left alone until it would have been met again, by the next query too.
func TestFullIsLeftUntilMetAgain(t *testing.T) {
	b := newBed(t, thin(), 0)
	b.warm(10, 30*ms)
	b.run(10 * time.Second)
	b.query(0, time.Second, 0)
	b.run(2 * ms)
	n := len(b.sends)
	b.outcome(b.sends[n-1], decision.Full)
	b.query(0, time.Second, 0)
	b.run(900 * ms)
	if len(b.sends) != n {
		t.Errorf("sent %d times more within 0.9 s to a server met every few seconds", len(b.sends)-n)
	}
	b.run(1200 * ms)
	b.query(0, time.Second, 0)
	if b.run(5 * ms); len(b.sends) == n {
		t.Error("not sent again 2 s after it was full")
	}
}

// Where gatherers are few, a part still waits for twice the tail and for news of its next replica: early moves cost there.
func TestFewMoveAsBefore(t *testing.T) {
	set := thin()
	set.Siblings = 3
	b := newBed(t, set, 0, 0, 0)
	b.warm(60, 30*ms)
	b.run(3 * time.Second)
	b.query(0, time.Second, 0)
	for range 29 {
		b.run(10 * ms)
		for _, a := range b.acts {
			if c, ok := a.(decision.Cancel); ok {
				t.Fatalf("%v moved with no news of another replica", c)
			}
		}
	}
}

// Where queries must be refused, those go first that take most parts for their worth: a bid of one part frees
// nothing to speak of, and is worth two thirds of a search of 20.
func TestRefusedByPartsForWorth(t *testing.T) {
	set := thin()
	set.Cells, set.Width = 20, 1
	cells := make([]int, 40)
	var shards []int
	for i := range cells {
		cells[i] = i % 20
		if i < 20 {
			shards = append(shards, i)
		}
	}
	refused, b := [2]int{}, newBed(t, set, cells...)
	for range 200 {
		b.m.Shed, b.m.ShedAt, b.m.Wait, b.m.WaitAt = 0.5, b.now, 0.35, b.now
		for class, at := range [][]int{shards, shards[:1]} {
			q, _ := b.query(class, time.Second, at...)
			if _, ok := b.last[q].(decision.Refuse); ok {
				refused[class]++
			}
			b.step(decision.ClientLeft{Query: q})
		}
	}
	if refused[0] < 70 || refused[1] > 30 {
		t.Errorf("of 200 each, %d searches and %d bids refused", refused[0], refused[1])
	}
}

func TestHangIsLeft(t *testing.T) {
	hangIsLeft(t, false)
	hangIsLeft(t, true)
}

func hangIsLeft(t *testing.T, passed bool) {
	set := base()
	set.SecondCopies, set.MaxAttempts = false, 4
	b := newBed(t, set, 0, 0, 0)
	b.warm(60, 50*ms)
	var stuck sent
	called := false
	run := func(steps int) {
		for range steps {
			b.run(10 * ms)
			called = called || stuck.Part > 0 && slices.Contains(b.acts, decision.Action(decision.Cancel{Part: stuck.Part}))
		}
	}
	for i := range 12 {
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		for range 5 {
			if run(1); passed && i == 0 { // some go there before it is late
				b.query(0, 4*time.Second, 0)
			}
		}
		for _, s := range b.sends[k:] {
			if s.Server == 1 && stuck.Part == 0 {
				stuck = s
			} else if s.Server != 1 || passed {
				b.outcome(s, decision.OK)
			}
		}
		if i == 11 && stuck.Part == 0 {
			t.Fatal("nothing was sent to the server that hangs")
		}
	}
	again := func() (n int) {
		for _, s := range b.sends {
			if s.Part == stuck.Part {
				n++
			}
		}
		return n
	}
	run(10)
	if !called || again() != 1 {
		t.Fatalf("called off %v, %d attempts before that is through", called, again())
	}
	b.outcome(stuck, decision.Cancelled)
	b.run(10 * ms)
	if s := b.sends[len(b.sends)-1]; again() != 2 || s.Part != stuck.Part || s.Server == 1 {
		t.Errorf("%d attempts, the last %+v", again(), s)
	}
}

// Two servers of three that answer one part in five and err at once on the rest are still asked while the sound
// one has a queue: what they answer it need not (a day's sound server was sent four fifths and stood full).
func TestQuickErrorsAreCheap(t *testing.T) {
	set := base()
	set.MaxAttempts, set.SecondCopies, set.Siblings = 4, false, 1
	b := newBed(t, set, 0, 0, 0)
	b.warm(30, 60*ms)
	var due []sent // answers to come; at is when
	n, asked, late, seen := map[decision.ServerID]int{}, map[decision.QueryID]time.Duration{}, 0, 0
	busy := b.now // until then the sound one has work
	for i := range 3000 {
		if i%3 == 0 {
			q, _ := b.query(0, 4*time.Second, 0)
			asked[q] = b.now
		}
		b.run(10 * ms)
		for ; seen < len(b.sends); seen++ {
			s := b.sends[seen]
			if n[s.Server]++; s.Server < 3 && n[s.Server]%5 > 0 {
				b.outcome(s, decision.Error)
				continue
			}
			if s.at = b.now + 60*ms; s.Server == 3 {
				busy = max(busy, b.now) + 48*ms // more than it can do if it gets two of three
				s.at = busy
			}
			due = append(due, s)
		}
		due = slices.DeleteFunc(due, func(s sent) bool {
			if s.at > b.now {
				return false
			}
			b.outcome(s, decision.OK)
			if b.now-asked[b.owner[s.Part]] > 600*ms {
				late++
			}
			return true
		})
	}
	if late > 20 {
		t.Errorf("%d of 1000 queries took over 600 ms; sent %v", late, n)
	}
}

// A server that falls silent is skipped, a second copy saves its parts, and service resumes later.
func TestSilentServer(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(40, 50*ms)
	var late int
	for range 60 {
		q, _ := b.query(0, 4*time.Second, 0)
		for range 20 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends...) {
				if s.Server != 2 && b.now-s.at >= 40*ms && b.now-s.at < 80*ms {
					b.outcome(s, decision.OK)
				}
			}
			if b.finals[q] > 0 {
				break
			}
		}
		if _, ok := b.last[q].(decision.Answer); !ok {
			late++
		}
	}
	if late > 2 {
		t.Errorf("%d of 60 queries were not answered in 400 ms", late)
	}
}

// An ask-mode list is subscribed to, and failures are tried again after growing waits.
func TestAskMode(t *testing.T) {
	set := base()
	set.AskMode = true
	b := newBed(t, set, 0, 1, 2)
	asks := func() (n int) {
		for _, a := range b.acts {
			if _, ok := a.(decision.Subscribe); ok {
				n++
			}
		}
		return n
	}
	if asks() != 1 {
		t.Fatal("not subscribed at the start")
	}
	total := 0
	for range 20 {
		b.step(decision.ServerList{Kind: decision.ListFailed})
		for range 500 {
			b.now += 10 * ms
			b.step(decision.Wake{})
			if asks() > 0 {
				total++
				break
			}
		}
	}
	if total != 20 {
		t.Errorf("asked again %d times after 20 failures", total)
	}
	b.step(decision.ServerList{Kind: decision.Whole, Servers: []decision.ServerInfo{{ID: 1, Cell: 0, State: decision.Ready}}})
	b.run(10 * time.Second)
	if asks() != 0 {
		t.Error("asked though subscribed")
	}
}

// Bad input to the public interface is ignored, or refused where a query is owed its answer.
func TestBadInput(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.step(decision.QueryArrived{ID: 1, Class: 99, Left: time.Second, Parts: 1}, decision.Outcome{Part: 5}, decision.ClientLeft{Query: 9},
		decision.PartArrived{ID: 8, Query: 77}, decision.PartArrived{ID: 9, Query: 1, Shard: -4})
	if _, ok := b.last[1].(decision.Refuse); !ok {
		t.Error("a query of an unknown class was not refused")
	}
	q, p := b.query(0, time.Second, 0)
	b.now -= 500 * ms // time going backwards counts as standing still
	b.step(decision.QueryArrived{ID: q, Left: time.Second, Parts: 1}, decision.Outcome{Part: p[0], Attempt: 7})
	b.now += 500 * ms
	b.run(time.Second)
	if b.finals[q] != 1 {
		t.Errorf("%d final answers, want 1", b.finals[q])
	}
	set := base()
	set.Cells = 0
	if _, err := New(set, 1); err == nil {
		t.Error("New took settings without cells")
	}
}

// A deploy of the whole world at once: one server fails, one is cold, one drains; then all is well.
func TestThreeSymptoms(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(40, 50*ms)
	play := func(n int, bad bool) (ok int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0)
			for range 4 {
				b.run(20 * ms)
				for _, s := range append([]sent(nil), b.sends[k:]...) {
					if bad && s.Server == 1 {
						b.outcome(s, decision.Error)
					} else if b.now-s.at >= 40*ms {
						b.outcome(s, decision.OK)
					}
				}
			}
			if _, is := b.last[q].(decision.Answer); is {
				ok++
			}
		}
		return ok
	}
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Ready, Started: b.now},
		{ID: 3, Cell: 2, State: decision.Draining}}})
	play(40, true)
	for _, s := range b.sends {
		if s.Server == 3 {
			t.Fatal("sent to a draining server")
		}
	}
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready}}})
	b.run(15 * time.Second)
	if ok := play(40, false); ok < 38 {
		t.Errorf("after the symptoms %d of 40 were answered", ok)
	}
}

// Identical events give identical actions.
func TestDeterminism(t *testing.T) {
	play := func() (all []decision.Action) {
		b := newBed(t, base(), 0, 1, 2, 0, 1, 2)
		for i := range 300 {
			b.query(i%4, 2*time.Second, i%3, (i+1)%3)
			b.now += 7 * ms
			for j := len(b.sends) - 8; j < len(b.sends); j += 3 {
				if j >= 0 {
					b.outcome(b.sends[j], []decision.Status{decision.OK, decision.OK, decision.Error, decision.TimedOut}[j%4])
				}
			}
			all = append(all, b.acts...)
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs differ")
	}
}

// The module stays readable: at most 1000 lines that are not blank in all of its folder, none over 110 characters.
func TestSize(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	n := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for at, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				n++
			}
			if l := len([]rune(line)); l > 110 {
				t.Errorf("%s: line %d has %d characters", name, at+1, l)
			}
		}
	}
	if n > 1000 {
		t.Errorf("%d lines, want 1000 at most", n)
	}
}

// Clients short of time are not repeats: their aims and partial answers stay (incident i23a901).
func TestShortPatience(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(20, 50*ms)
	b.query(3, 4*time.Second, 0) // what the class usually has left
	b.sends = nil
	q, _ := b.query(3, 2*time.Second, 0, 1) // half the class's wait, as a late repeat would have
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.run(100 * ms)
	if b.m.Queries[q] == nil || b.m.Queries[q].Step != 1 {
		t.Fatal("answered in part long before the aim")
	}
}

// Every replica of a shard suspect: the least bad is still used, and service resumes afterwards.
func TestAllSuspect(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	play := func(n int, st decision.Status) (ok int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0)
			for range 4 {
				b.run(20 * ms)
				for _, s := range append([]sent(nil), b.sends[k:]...) {
					b.outcome(s, st)
				}
			}
			if _, is := b.last[q].(decision.Answer); is {
				ok++
			}
		}
		return ok
	}
	play(20, decision.Error)
	if len(b.sends) < 20 {
		t.Errorf("only %d attempts for 20 queries: the least bad replica is not used", len(b.sends))
	}
	b.run(5 * time.Second)
	if ok := play(30, decision.OK); ok < 28 {
		t.Errorf("%d of 30 answered once the errors had ended", ok)
	}
}

// A mixer that restarts in the middle of overload still gives every query its one final answer.
func TestRestartInOverload(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	for range 300 { // far more than the servers answer
		b.query(0, time.Second, 0, 1, 2)
		b.run(10 * ms)
		if n := len(b.sends); n > 3 && n%3 == 0 {
			b.outcome(b.sends[n/2], decision.OK)
		}
	}
	b.run(1500 * ms)
	if len(b.finals) != 300 {
		t.Errorf("%d of 300 queries have a final answer", len(b.finals))
	}
	if len(b.m.Queries) != 0 || len(b.m.Live) != 0 {
		t.Error("ended queries are still on the books")
	}
}

// A query that kills each server that begins a part of it is tried once with all its parts, once alone,
// and then ends; another try of it is refused, while other queries of its class are served.
func TestPoison(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	kill := func(q decision.QueryID) {
		for range 20 {
			b.run(20 * ms)
			for _, s := range append([]sent(nil), b.sends...) {
				if b.owner[s.Part] == q {
					b.outcome(s, decision.Reset)
					b.m.Servers[s.Server].DiedAt = b.now // as when the next connection is refused
				}
			}
		}
	}
	q, _ := b.query(0, 4*time.Second, 0, 1, 2)
	kill(q)
	if n := len(b.sends); n != 4 {
		t.Errorf("%d attempts of a query that kills servers, want 3 and one alone", n)
	}
	if _, ok := b.last[q].(decision.Refuse); !ok {
		t.Errorf("last word %v, want Refuse", b.last[q])
	}
	b.sends = nil
	again, _ := b.query(0, 4*time.Second, 0, 1, 2)
	if _, ok := b.last[again].(decision.Refuse); !ok || len(b.sends) > 0 {
		t.Error("the same query was not refused when it came again")
	}
	if other, _ := b.query(0, 4*time.Second, 1, 2); b.finals[other] > 0 || len(b.sends) == 0 {
		t.Error("another query of its class was not sent")
	}
}

// A query that meets two connections that break alone has killed nothing: it is tried again and answered.
func TestTwoLoneResetsAreNoPoison(t *testing.T) {
	set := base()
	set.MaxAttempts = 4
	b := newBed(t, set, 0, 1, 2)
	b.warm(30, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0)
	for i, st := range []decision.Status{decision.Reset, decision.Reset, decision.OK} {
		b.run(20 * ms)
		if len(b.sends) != i+1 {
			t.Fatalf("%d attempts, want %d; last word %v", len(b.sends), i+1, b.last[q])
		}
		b.outcome(b.sends[i], st)
	}
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("last word %v, want an answer", b.last[q])
	}
}

// A query that lost a part to a crash but has another in is a bystander: its part goes again at once.
func TestBystander(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1)
	b.run(50 * ms)
	b.outcome(b.sends[0], decision.OK)
	b.outcome(b.sends[1], decision.Reset)
	b.run(10 * ms)
	if len(b.sends) != 3 {
		t.Fatalf("%d attempts, want the lost part sent again", len(b.sends))
	}
	b.outcome(b.sends[2], decision.OK)
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("last word %v, want an answer", b.last[q])
	}
}

// Crashes here and there, heard from the list alone, make a wide query go one part first.
func TestCrashesAbout(t *testing.T) {
	set := base()
	set.Cells, set.Width = 9, 3
	b := newBed(t, set, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	for i := range 3 {
		b.now += 100 * ms
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: decision.ServerID(i + 1), Cell: i, Zone: i % 2, Nominal: 1}}})
	}
	b.run(200 * ms)
	b.query(0, 4*time.Second, 3, 4, 5)
	b.run(20 * ms)
	if len(b.sends) != 1 {
		t.Fatalf("%d parts sent while crashes are about, want one first", len(b.sends))
	}
	b.outcome(b.sends[0], decision.OK)
	b.run(20 * ms)
	if len(b.sends) != 3 {
		t.Errorf("%d parts sent once the first came back, want all", len(b.sends))
	}
}

// Connections that break alone, as where servers close them right behind an answer, are no crashes; one that
// breaks and whose server then cannot be reached is.
func TestLoneResetsAreNoCrashes(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	for i, s := range b.m.Order {
		s.Zone = i % 2
	}
	b.m.Index()
	end := func(st decision.Status) {
		for i := range 3 {
			k := len(b.sends)
			b.query(0, 4*time.Second, i)
			for n := range 3 { // each server in turn, as one that was tried is passed over
				b.run(20 * ms)
				if len(b.sends) > k+n && (st != decision.Reset || n == 0) {
					b.outcome(b.sends[k+n], st)
				}
			}
		}
		b.run(200 * ms)
	}
	end(decision.Reset)
	if b.m.Alarm {
		t.Error("lone resets count as crashes")
	}
	end(decision.ConnectFailed)
	if !b.m.Alarm {
		t.Error("servers that reset and then refuse do not count as crashes")
	}
}

// A zone in doubt gets nothing new while it is probed: three probes take a second to be lost, in which 80 gatherers
// sent half of all parts to a zone that had vanished.
func TestZoneInDoubt(t *testing.T) {
	set := thin()
	set.Probes, set.Siblings = true, 4 // no subset
	b := newBed(t, set)
	var l []decision.ServerInfo
	for i := range 40 {
		l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: 0, State: decision.Ready, Zone: i % 2})
	}
	b.step(decision.ServerList{Kind: decision.Whole, Servers: l})
	b.warm(60, 30*ms)
	there := func(s sent) bool { return s.Server%2 == 0 } // zone 1, from which nothing comes any more
	for i, n := 0, 0; i < 40; i++ {
		if i == 25 {
			n = len(b.sends)
		}
		b.query(0, time.Second, 0)
		b.run(10 * ms)
		for _, s := range slices.Clone(b.sends) {
			if !there(s) && b.now-s.at >= 30*ms && b.now-s.at < 40*ms {
				b.outcome(s, decision.OK)
			}
		}
		if i == 39 && (b.m.Zones[1].Far || slices.ContainsFunc(b.sends[n:], there)) {
			t.Errorf("far %v, and parts still go there after 250 ms", b.m.Zones[1].Far)
		}
	}
}

// The way to a zone turns slow and loses probes: its servers are skipped without blame, until a probe
// gets through. The same silence with probes answered is the servers' own.
func TestFarZone(t *testing.T) {
	for _, through := range []bool{false, true} {
		set := base()
		set.Probes = true
		b := newBed(t, set)
		var l []decision.ServerInfo
		for i := range 3 {
			l = append(l, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready, Zone: min(i, 1)})
		}
		b.step(decision.ServerList{Kind: decision.Whole, Servers: l})
		b.warm(30, 50*ms)
		probe := func(ok bool) {
			for _, a := range b.acts {
				if p, is := a.(decision.Probe); is {
					b.step(decision.Probed{Server: p.Server, OK: ok})
				}
			}
		}
		for i := range 30 {
			for range max(1, 12-i*12) {
				b.query(0, 4*time.Second, 0)
			}
			for range 4 {
				b.run(10 * ms)
				for _, s := range append([]sent(nil), b.sends...) {
					if s.Server == 1 && b.now-s.at >= 40*ms {
						b.outcome(s, decision.OK)
					}
				}
				b.run(10 * ms)
				probe(through)
			}
		}
		if far := b.m.Zones[1].Far; far == through {
			t.Errorf("probes through %v: far is %v", through, far)
		}
		if through {
			continue
		}
		if bad := b.m.Servers[2].Bad; bad > badBack {
			t.Errorf("a server behind the slow way is blamed: %v", bad)
		}
		b.step(decision.Probed{Server: 2, OK: true})
		if b.m.Zones[1].Far {
			t.Error("still far after a probe got through")
		}
	}
}

// Queues that stand at the servers, filled by other mixers, count as misses though nothing is held here:
// queries that would wait past their deadline are refused before any part is sent, and taken again later.
func TestQueuesElsewhere(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	refused := func(n int, took time.Duration) (r int) {
		for range n {
			k := len(b.sends)
			q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2)
			b.run(took)
			for ; k < len(b.sends); k++ { // copies sent meanwhile too
				b.outcome(b.sends[k], decision.OK)
			}
			if _, is := b.last[q].(decision.Refuse); is {
				r++
			}
		}
		return r
	}
	if refused(20, 1200*ms); b.m.Shed == 0 && refused(5, 1200*ms) == 0 {
		t.Error("nothing refused though every part waits past its deadline at the servers")
	}
	b.run(5 * time.Second)
	refused(20, 50*ms)
	if r := refused(20, 50*ms); r > 0 {
		t.Errorf("%d of 20 refused once the servers were quick again", r)
	}
}

// A clock that starts anywhere leaves records and start curves what they are.
func TestLateClock(t *testing.T) {
	for _, start := range []time.Duration{0, 300 * time.Hour} {
		m, _ := New(base(), 7)
		m.Step(start+time.Second, []decision.Event{decision.ServerList{Kind: decision.Cached, Servers: []decision.ServerInfo{{ID: 1, State: decision.Ready}}}})
		if m.Typical <= 0 || m.Typical > 0.5 {
			t.Errorf("clock from %v: the start curve's median is %v s", start, m.Typical)
		}
		m.Pool.Add(start+time.Second, 0.05)
		m.SurveyPool()
		if cdf := m.CDF(m.Servers[1]); !(cdf[len(cdf)-1] > 0.99) {
			t.Errorf("clock from %v: an unheard server's record ends at %v", start, cdf[len(cdf)-1])
		}
	}
}

// Where no budget is stated, a part still out at its deadline gets its copy then: in a small mixer, which
// cannot know the slow servers of a large fleet, a copy at the record's tail would come too late.
func TestCopyByDeadline(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	for i := range 40 { // a long tail, so that the record's 99th percentile is past the deadline
		b.warm(1, time.Duration(50+i%10/9*900)*ms)
	}
	q, _ := b.query(0, 4*time.Second, 0)
	b.run(600 * ms)
	if len(b.sends) < 2 {
		t.Fatal("no copy by the deadline")
	}
	b.outcome(b.sends[1], decision.OK)
	if _, ok := b.last[q].(decision.Answer); !ok {
		t.Errorf("last word %v, want an answer", b.last[q])
	}
}

// Two copies of a keyed part are never out at once, where copies are allowed: the one too long out is called off, and
// only when that is through it goes again.
func TestNoCopyOfKeyed(t *testing.T) {
	set := base()
	set.Classes[1].Window = 4 * time.Second
	b := newBed(t, set, 0, 1, 2)
	b.warm(30, 50*ms)
	_, parts := b.query(1, 4*time.Second, 0)
	for range 120 { // the others answer meanwhile, so that it is seen to be passed by
		b.query(0, 4*time.Second, 1)
		b.run(10 * ms)
		for _, s := range b.sends[1:] {
			if s.Part != parts[0] && b.now-s.at == 10*ms {
				b.outcome(s, decision.OK)
			}
		}
		if n := b.tries[parts[0]]; n != 1 {
			t.Fatalf("%d attempts of a keyed part, the first still out", n)
		}
	}
	if !b.m.Parts[parts[0]].Attempts[0].Moved {
		t.Fatal("it was not called off")
	}
	b.outcome(b.sends[0], decision.Cancelled)
	if n := b.tries[parts[0]]; n != 2 {
		t.Errorf("%d attempts when the first was called off", n)
	}
}

// A server met seldom is known slow after one answer: what is old gives way to what is new.
func TestSlowMetSeldom(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	b.run(20 * time.Second)
	s := b.m.Servers[1]
	b.m.heard(s, 0.5, true) // ten times the usual
	b.m.surveyServers()
	if tr := b.m.trust(s); tr >= trusted {
		t.Errorf("trust %v after one answer of ten medians, want a suspect", tr)
	}
}

// A mixer that stood still and finds everything at once blames no server, counts no miss of what it held
// meanwhile, and sends no storm of copies.
func TestOwnStall(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 50*ms)
	lat, missed := b.m.Servers[1].Lat, b.m.Missed.Sum
	for range 8 { // more than the caps let out, so that some are held
		b.query(0, 4*time.Second, 0, 1, 2)
	}
	b.run(20 * ms)
	b.now += 900 * ms
	b.nextID++
	out, sends := append([]sent(nil), b.sends...), len(b.sends)
	var ev []decision.Event
	for _, s := range out[:len(out)-3] {
		ev = append(ev, decision.Outcome{Part: s.Part, Server: s.Server, Attempt: s.attempt, Status: decision.OK, Took: 50 * ms})
	}
	b.step(ev...)
	if got := b.m.Servers[1].Lat; got > 2*lat {
		t.Errorf("answer time %v after the stall, %v before", got, lat)
	}
	if b.m.Missed.Sum > missed {
		t.Errorf("%v misses counted of our own stall", b.m.Missed.Sum-missed)
	}
	for _, s := range b.sends[sends:] {
		if s.attempt > 0 {
			t.Error("a copy sent in the step that woke late")
		}
	}
}

// A client that would leave before its like are answered is refused at once, before any part is sent; one
// with a little more time is served, whatever its class usually has.
func TestClientTooShortOfTime(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 200*ms)
	q, _ := b.query(0, 100*ms, 0, 1)
	if _, ok := b.last[q].(decision.Refuse); !ok || len(b.sends) > 0 {
		t.Errorf("last word %v and %d parts sent, want a refusal and none", b.last[q], len(b.sends))
	}
	if q, _ = b.query(0, 400*ms, 0, 1); b.finals[q] > 0 || len(b.sends) != 2 {
		t.Errorf("%d parts sent for a client with time enough, want 2", len(b.sends))
	}
}

// Copies of many mixers together take the budget's free attempts once, not once for each mixer; parts
// that failed may use them all.
func TestCopiesOfManyMixers(t *testing.T) {
	set := base()
	set.Siblings = 50
	set.Rules.BudgetOn, set.Rules.BudgetFree, set.Rules.BudgetShare, set.Rules.BudgetSpan = true, 20, 0.05, 10*time.Second
	b := newBed(t, set, 0, 1, 2, 0, 1, 2)
	b.warm(30, 50*ms)
	b.run(11 * time.Second)
	for range 24 {
		b.query(0, 4*time.Second, 0)
	}
	b.run(40 * ms)
	for _, s := range append([]sent(nil), b.sends...) {
		if s.Server != 1 {
			b.outcome(s, decision.OK)
		}
	}
	b.run(300 * ms)
	if n := len(b.sends); n != 24 {
		t.Errorf("%d copies while the first attempts could still make the aim", n-24)
	}
	b.run(600 * ms)
	copies := 0
	for _, s := range b.sends {
		if s.attempt > 0 {
			copies++
		}
	}
	if copies < 1 || copies > 2 {
		t.Errorf("%d copies for 48 queries and parts, want a twentieth of them", copies)
	}
	for _, s := range append([]sent(nil), b.sends...) {
		b.outcome(s, decision.Error)
	}
	b.run(50 * ms)
	if n := len(b.sends) - 24 - copies; n < 2 {
		t.Errorf("%d failed parts tried again, want those that no copy had saved", n)
	}
}

// A long life under churn stays bounded: servers that left, what was taken, and suspects are forgotten.
func TestLongLife(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
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
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: id, Cell: 1, State: decision.Gone, Nominal: 1}}})
		b.sends = nil
	}
	b.m.Suspects[1] = b.now - time.Hour
	b.run(time.Minute)
	b.query(0, 4*time.Second, 0)
	b.run(200 * ms)
	if n := len(b.m.Servers); n > 10 || len(b.m.Order) != n {
		t.Errorf("%d servers and %d in order after 200 came and went", n, len(b.m.Order))
	}
	if n := len(b.m.Taken.At); n > 1000 {
		t.Errorf("%d entries of what was taken, want only the last span's", n)
	}
	if n := len(b.m.Suspects); n > 0 {
		t.Errorf("%d old suspects kept", n)
	}
}

// A small mixer among many sends a cold server no part in each span of the fall rule: the sum would push
// it over. It waits for as long as its own share of a cold server takes.
func TestColdShareOfSmallMixers(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.run(time.Minute)
	s := b.m.Servers[2]
	s.Started = b.now
	can := func(after time.Duration) bool {
		b.now = s.Started + after
		b.step(decision.Wake{})
		b.m.Carried = 0.5 / 3 // parts a second that a warm server answers us
		return b.m.sendable(s)
	}
	if can(time.Second) || can(2*time.Second) {
		t.Error("a part to a server that is cold, though our share is one in ten seconds and more")
	}
	if !can(9 * time.Second) {
		t.Error("nothing to a server almost warm, though our share is due")
	}
}

// What a cold server may be sent follows what servers carry, not what they are sent: while the others turn
// nearly everything away, the storm of parts that find no place must not go to it (hunted day h37c30b).
func TestColdServerInStorm(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(30, 300*ms) // one part a second and server
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 3, Cell: 2, State: decision.Ready, Nominal: 1, Started: b.now}}})
	n, cold := 0, b.m.Servers[3]
	for range 300 { // 3 s, in which the warm ones are sent a hundred parts a second each, and answer none
		for _, s := range []*fleet.Server{b.m.Servers[1], b.m.Servers[2]} {
			p := &fleet.Part{}
			b.m.Launch(p, s, false)
			s.Drop(p.Attempts[0])
		}
		b.run(10 * ms)
		if b.m.sendable(cold) {
			b.m.Launch(&fleet.Part{}, cold, false)
			n++
		}
	}
	if n > 3 {
		t.Errorf("a cold server was sent %d parts in 3 s, where a warm one answers 3", n)
	}
}

// A client short of time is no late repeat: its query is not given up for that while the mixer sheds
// (incident i23a901, which came back when shedding lasted longer).
func TestShortPatienceWhileShedding(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(20, 50*ms)
	b.query(0, 4*time.Second, 0) // what the class usually has left
	b.m.Shed = 1
	k := len(b.sends)
	q, _ := b.query(0, 2*time.Second, 0, 1) // as much less as a late repeat would have
	b.run(20 * ms)
	if b.finals[q] > 0 || len(b.sends) != k+2 {
		t.Errorf("%d parts sent and last word %v, want two and none", len(b.sends)-k, b.last[q])
	}
}

// Mixers that start together do not all begin at the same servers.
func TestStartsSpread(t *testing.T) {
	first := map[decision.ServerID]int{}
	for seed := range uint64(30) {
		m, _ := New(base(), seed)
		var list []decision.ServerInfo
		for i := range 3 {
			list = append(list, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready})
		}
		for _, a := range m.Step(time.Second, []decision.Event{decision.ServerList{Kind: decision.Cached, Servers: list},
			decision.QueryArrived{ID: 1, Left: 4 * time.Second, Parts: 1}, decision.PartArrived{ID: 2, Query: 1, Weight: 1}}) {
			if s, ok := a.(decision.Send); ok {
				first[s.Server]++
			}
		}
	}
	if len(first) < 3 {
		t.Errorf("30 mixers begin at %v, want all three servers", first)
	}
}

// Where any so many parts make a whole answer no more are asked for, those of weak shards last; a late part
// brings a spare, and a lost one ends the query only when what can still come is too little.
func TestSpareParts(t *testing.T) {
	set := base()
	set.Classes[0].Need, set.Classes[0].Floor, set.MaxAttempts, set.SecondCopies = 0.6, 0.6, 1, false
	set.Width = 1
	b := newBed(t, set, 0, 1, 2)
	b.warm(20, 50*ms)
	b.m.Servers[1].Bad, b.m.Servers[1].BadAt = 0.5, b.now
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 1, 2)
	if len(b.sends) != 3 {
		t.Fatalf("%d parts sent, want the 3 of 5 that make a whole", len(b.sends))
	}
	for _, s := range b.sends {
		if s.Server == 1 {
			t.Error("a part of the weak shard was asked for first")
		}
	}
	b.outcome(b.sends[0], decision.Error)
	if len(b.sends) != 4 || b.finals[q] > 0 {
		t.Fatalf("%d parts sent and %d last words after a lost part, want 4 and none", len(b.sends), b.finals[q])
	}
	b.run(1100 * ms) // past the deadline
	if len(b.sends) != 5 {
		t.Errorf("%d parts sent once others were late, want all 5", len(b.sends))
	}
	b.outcome(b.sends[1], decision.Error)
	if b.finals[q] > 0 {
		t.Fatal("given up though three parts can still come")
	}
	b.outcome(b.sends[2], decision.Error)
	if b.finals[q] != 1 {
		t.Error("not given up at once when two of five could still come")
	}
}

// Copies go whatever share of the servers is silent, so long as the others answer as usual: that a third is
// silent does not make all slow (perth's hang: no copy was sent while over a fifth were overdue).
func TestCopiesOfSilentServers(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2, 0, 1, 2)
	b.warm(60, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2)
	for i := range 95 {
		if b.run(10 * ms); i%5 == 4 {
			for k := 0; k < len(b.sends); k++ {
				if b.sends[k].Server > 2 {
					b.outcome(b.sends[k], decision.OK)
				}
			}
		}
	}
	if _, is := b.last[q].(decision.Answer); !is {
		t.Errorf("last word %v, want an answer within the aim by copies", b.last[q])
	}
}

// One part that a server kept past the tail, while the others answer, is enough at full size: the server is
// a suspect until several more would have been due to it, and a further attempt goes to none.
func TestSilenceIsRemembered(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2, 0, 1, 2)
	for range 100 { // about one answer a server in three seconds
		k := len(b.sends)
		b.query(0, 4*time.Second, 0)
		b.run(500 * ms)
		b.outcome(b.sends[k], decision.OK)
	}
	s := b.m.Servers[1]
	p := &fleet.Part{PartArrived: decision.PartArrived{ID: 9}, Q: &fleet.Query{Terms: &b.m.Set.Classes[0], Ended: true}, Index: -1}
	b.m.Parts[9] = p
	b.m.Launch(p, s, false)
	b.run(3 * time.Second)
	b.step(decision.Outcome{Part: 9, Server: 1, Status: decision.Cancelled})
	b.run(6 * time.Second)
	if got := b.m.trust(s); got >= trusted {
		t.Errorf("trust %.2f two meetings after a silence, want a suspect still", got)
	}
	if again := (&fleet.Part{Attempts: p.Attempts}); b.m.tier(b.m.Servers[1], again) == 0 {
		t.Error("a suspect takes a further attempt as if it were sound")
	}
	b.run(time.Minute)
	if b.m.trust(s) < trusted {
		t.Error("a suspect for ever")
	}
}

// Where parts sent on connections that had been idle are lost and the others are not, the connections have
// died unseen: they are closed before the next part, and no server is blamed (incident i57e58a).
func TestIdleConnectionsDead(t *testing.T) {
	set := base()
	set.SecondCopies = false
	b := newBed(t, set, 0, 1, 2)
	b.warm(30, 50*ms)
	closed := map[decision.ServerID]bool{}
	n, answered := 0, 0
	for range 60 {
		k := len(b.sends)
		q, _ := b.query(0, time.Second, 0, 1, 2)
		for _, a := range b.acts {
			if c, is := a.(decision.CloseIdle); is {
				closed[c.Server] = true
				n++
			}
		}
		b.run(100 * ms)
		for _, s := range b.sends[k:] {
			if closed[s.Server] { // opened anew
				b.outcome(s, decision.OK)
			}
		}
		if _, is := b.last[q].(decision.Answer); is {
			answered++
		}
		b.run(time.Second)
		for ; k < len(b.sends); k++ {
			b.outcome(b.sends[k], decision.Cancelled)
		}
		clear(closed)
		b.run(500 * ms)
	}
	if answered < 30 {
		t.Errorf("%d of 60 queries answered with %d connections closed, want most once it is known", answered, n)
	}
	for _, s := range b.m.Order {
		if s.Bad > badLog {
			t.Errorf("server %d is blamed for its connections: %.2f", s.ID, s.Bad)
		}
	}
}

// A suspect is no refuge for what finds no room elsewhere: where servers are met seldom it is on trial some
// time after its last failure only (incident i682533: hung servers of sets of two were sent all that the
// other could not take at once). A small mixer that meets it all the time finds out at once that it is well.
func TestTrialsAreFew(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(60, 50*ms)
	s, p := b.m.Servers[1], &fleet.Part{Q: &fleet.Query{Terms: &b.m.Set.Classes[0]}, Index: -1}
	tier := func(answers float64) int { // a second and server
		b.m.Carried = answers
		s.Bad, s.BadAt = 0.9, b.now
		return b.m.tier(s, p)
	}
	b.m.note(s, false, 1)
	if tier(2) != 0 {
		t.Error("not on trial though it is met twice a second")
	}
	if tier(0.2) == 0 {
		t.Error("on trial at once after a failure though it is met once in five seconds")
	}
	b.run(20 * time.Second)
	if tier(0.2) != 0 {
		t.Error("never on trial")
	}
}

// Where every replica of a shard is slow or fails, its parts count as misses though the others are quick.
func TestWaitAtShard(t *testing.T) {
	set := base()
	set.Width = 1
	b := newBed(t, set, 0, 1, 2)
	b.warm(60, 50*ms)
	for range 20 {
		b.m.heard(b.m.Servers[2], 2, false)
	}
	for range 10 {
		b.m.note(b.m.Servers[3], false, 1)
	}
	for shard, want := range []bool{false, true, true} {
		p := &fleet.Part{PartArrived: decision.PartArrived{Shard: shard}, QueueKey: tailguard.QueueKey{Deadline: b.now + time.Second}}
		if got := b.m.wouldMiss(p); got != want {
			t.Errorf("shard %d: a miss is %v, want %v", shard, got, want)
		}
	}
	b.m.Shed = 1
	if q, _ := b.query(0, 4*time.Second, 0, 1); b.finals[q] != 1 {
		t.Error("taken while refusing, though its second shard is slow")
	}
	// One that can do without the slow shard is taken without it, and answered as soon as the rest is in
	// (hanbit-lots hand: operators took out two of a cell's three).
	b.m.Set.Classes[0].Floor = 0.5
	q, _ := b.query(0, 4*time.Second, 0, 1)
	if len(b.sends) != 1 || b.finals[q] > 0 {
		t.Fatalf("%d parts sent, %d final answers", len(b.sends), b.finals[q])
	}
	b.now += 50 * ms
	b.outcome(b.sends[0], decision.OK)
	if a, ok := b.last[q].(decision.Answer); !ok || a.Whole || !a.Final {
		t.Errorf("last word %+v", b.last[q])
	}
}

// A query that lost its first part to a death proves itself with a part of another shard, lest both replicas
// of one shard go down (ahmedabad big-2: sets of two, lost as a whole).
func TestProofAtAnotherShard(t *testing.T) {
	set := base()
	set.Width = 1
	b := newBed(t, set, 0, 0, 1, 1, 2, 2)
	b.warm(40, 50*ms)
	b.m.Alarm = true
	b.query(0, 4*time.Second, 0, 1, 2)
	if len(b.sends) != 1 {
		t.Fatalf("%d parts sent while servers crash, want one", len(b.sends))
	}
	b.outcome(b.sends[0], decision.Reset)
	b.run(20 * ms)
	if len(b.sends) != 2 || b.sends[1].Part == b.sends[0].Part {
		t.Errorf("after a death %v, want one part of another shard", b.sends[1:])
	}
}

// Parts that share a call share its connection: the second is not on a busy one because the first is out
// (incident i106f43: its siblings' losses hid that idle connections were dead).
func TestSiblingsOnIdleConnection(t *testing.T) {
	set := base()
	set.CallCost, set.Batch = 40*ms, 8
	b := newBed(t, set, 0, 1, 2)
	b.warm(20, 50*ms)
	b.run(time.Second)
	b.query(0, 4*time.Second, 0, 1, 2)
	for _, s := range b.m.Order {
		for _, a := range s.Out {
			if !a.Idle {
				t.Errorf("attempt %d of part %d counts as sent on a busy connection", a.Number, a.P.ID)
			}
		}
	}
}

// The last part of a wide query may be copied to a suspect: with it the work of all the others would be lost
// (perth, h4ee82a: queries ended with 25 of 26 parts in and the other replicas of the last one suspect).
func TestLastPartGoesToSuspect(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.warm(60, 50*ms)
	q, _ := b.query(0, 4*time.Second, 0, 1, 2, 0, 1, 2, 0, 1)
	last := b.sends[0]
	for _, s := range b.m.Order {
		if s.ID != last.Server {
			s.Bad, s.BadAt, s.FailedAt = 0.9, b.now, b.now
		}
	}
	for _, s := range append([]sent(nil), b.sends[1:]...) {
		b.step(decision.Outcome{Part: s.Part, Server: s.Server, Status: decision.OK})
	}
	for _, s := range b.m.Order {
		if s.ID != last.Server {
			s.Bad, s.BadAt = 0.9, b.now
		}
	}
	k := len(b.sends)
	b.run(1500 * ms)
	if len(b.sends) == k || b.sends[k].Part != last.Part || b.finals[q] > 0 {
		t.Errorf("sent %v, want a copy of the last part %d", b.sends[k:], last.Part)
	}
}

// A query whose parts weigh too little for any answer, which no host should hand over, ends at once.
func TestSparesOfTooLittleWeight(t *testing.T) {
	set := base()
	set.Classes[0].Need, set.Classes[0].Floor = 0.6, 0.6
	b := newBed(t, set, 0, 1, 2)
	b.step(decision.QueryArrived{ID: 1, Left: time.Second, Parts: 2},
		decision.PartArrived{ID: 2, Query: 1, Shard: 0}, decision.PartArrived{ID: 3, Query: 1, Shard: 1})
	if b.finals[1] != 1 || len(b.sends) > 0 {
		t.Errorf("%d last words and %d parts sent, want one and none", b.finals[1], len(b.sends))
	}
}

// A query whose shards have no server in the list is answered at once, not held until its client's time is
// up: on arrival, and when the last server goes while it is in hand.
func TestNoServerListed(t *testing.T) {
	set := base()
	set.Width = 1
	b := newBed(t, set, 0, 1)
	lost, _ := b.query(0, 4*time.Second, 0, 2)
	if r, ok := b.last[lost].(decision.Refuse); !ok || r.RetryAfter <= 0 {
		t.Errorf("without a server: %+v", b.last[lost])
	}
	held, parts := b.query(2, 4*time.Second, 1)
	b.now += 10 * ms
	b.step(decision.Outcome{Part: parts[0], Server: 2, Status: decision.ConnectFailed},
		decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 1, State: decision.Gone}}})
	if _, ok := b.last[held].(decision.Refuse); !ok {
		t.Errorf("its last server gone: %+v", b.last[held])
	}
}

// Other settings bind queries that come after them; those in hand keep their class's attempts.
func TestRetuned(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	_, before := b.query(0, 4*time.Second, 0)
	set := base()
	set.MaxAttempts = 1
	set.Classes = append(set.Classes, set.Classes[0])
	b.step(decision.Retuned{Settings: set})
	_, after := b.query(len(set.Classes)-1, 4*time.Second, 0)
	for i := 0; i < len(b.sends); i++ {
		b.now += 10 * ms
		b.outcome(b.sends[i], decision.Error)
	}
	if b.tries[before[0]] != 3 || b.tries[after[0]] != 1 {
		t.Errorf("%d attempts of a part from before, %d of one from after", b.tries[before[0]], b.tries[after[0]])
	}
}

// A successor goes on from its predecessor's records: no start curve, and what failed or is cold still is.
func TestLearned(t *testing.T) {
	old := newBed(t, base(), 0, 1, 2)
	old.warm(60, 50*ms)
	old.m.note(old.m.Servers[2], false, 1)
	old.m.Servers[3].ColdFrom = old.now
	young := newBed(t, base(), 0, 1, 2)
	young.now += time.Hour
	young.step(decision.Learned{Records: append(old.m.Records(), decision.Record{Server: 9}, decision.Record{Server: 1, Answers: []float64{1}})})
	young.step()
	m := young.m
	if m.Typical != old.m.Typical || m.Servers[1].Lat != old.m.Servers[1].Lat || m.Servers[2].Bad == 0 || m.warmth(m.Servers[3]) > 0.21 {
		t.Errorf("typical %v, want %v; server 1 %v; server 2 fails %v; server 3 warm %v", m.Typical, old.m.Typical,
			m.Servers[1].Lat, m.Servers[2].Bad, m.warmth(m.Servers[3]))
	}
}

// A pause is no death: a server that stands still for 280 ms and then answers all at once is neither cold nor crashed, and
// is no suspect for long, as each does so every few seconds.
func TestPauseIsNoDeath(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.steady(3 * time.Second)
	stood, k := b.m.Servers[1], len(b.sends)
	b.steady(280*ms, stood.ID)
	for _, s := range append([]sent(nil), b.sends[k:]...) {
		if s.Server == 1 {
			b.outcome(s, decision.OK) // a second answer of one that was called off is heard by nobody
		}
	}
	if stood.DiedAt != 0 || stood.ColdFrom != 0 {
		t.Errorf("taken for dead at %v, for cold from %v", stood.DiedAt, stood.ColdFrom)
	}
	b.steady(2 * time.Second)
	if tr := b.m.trust(stood); tr < trusted {
		t.Errorf("trust %v two seconds after a pause", tr)
	}
}

// Nothing assumes that clients wait no longer than some seconds: a query may take 10 s, and a part may be out for 9 of them.
func TestTenSeconds(t *testing.T) {
	set := base()
	set.SecondCopies, set.Cancel = false, false
	set.Classes[0].Aim, set.Classes[0].Deadline = 5*time.Second, 10*time.Second
	b := newBed(t, set, 0, 1, 2)
	q, _ := b.query(0, 10*time.Second, 0)
	b.run(9 * time.Second)
	if b.finals[q] != 0 || b.sends[0].Limit < 9*time.Second {
		t.Fatalf("ended with %+v; the part had %v", b.last[q], b.sends[0].Limit)
	}
	b.outcome(b.sends[0], decision.OK)
	if a, ok := b.last[q].(decision.Answer); !ok || !a.Whole {
		t.Errorf("last word %+v", b.last[q])
	}
}

// What warm servers carry is told by the time that a mixer has lived, and a successor goes on from what its predecessor
// knew of it: else a cold server gets next to nothing for the first seconds, and one that warms by its work stays cold
// (kochi-checkin upgrade+hand: five cold ones got 2 to 5 parts a second each beside three that got 60).
func TestYoungMixerFeedsCold(t *testing.T) {
	set := base()
	set.Width, set.Rules.FallMultiple, set.Rules.FallSpan = 1, 1, time.Second
	cold := func(b *bed) int { // parts that a cold server gets within a second, beside a warm one
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 0, State: decision.Ready, Nominal: 1, Started: b.now}}})
		k := len(b.sends)
		b.steady(time.Second)
		n := 0
		for _, s := range b.sends[k:] {
			if s.Server == 2 {
				n++
			}
		}
		return n
	}
	old, young := newBed(t, set, 0, 0), newBed(t, set, 0, 0)
	old.steady(15 * time.Second)
	young.steady(set.Rules.FallSpan)
	want, got := cold(old), cold(young)
	if want < 5 || got < want*2/3 {
		t.Errorf("a cold server gets %d parts a second of a young mixer, %d of an old one", got, want)
	}
	next := newBed(t, set, 0, 0)
	next.now = old.now
	next.step(decision.Learned{Records: old.m.Records(), PerSecond: old.m.PerSecond()})
	if got := cold(next); got < want*2/3 {
		t.Errorf("a cold server gets %d parts a second of a successor, %d of its predecessor", got, want)
	}
}

// steady puts a query of one part every 20 ms, and answers each after 40 ms, but at servers that stand still.
func (b *bed) steady(d time.Duration, still ...decision.ServerID) {
	for end := b.now + d; b.now < end; {
		b.query(0, 4*time.Second, 0)
		for range 2 {
			b.now += 10 * ms
			for i := len(b.sends) - 1; i >= 0 && b.now-b.sends[i].at <= 40*ms; i-- {
				if b.now-b.sends[i].at == 40*ms && !slices.Contains(still, b.sends[i].Server) {
					b.outcome(b.sends[i], decision.OK)
				}
			}
			b.step(decision.Wake{})
		}
	}
}

// A query that takes no answer in part is refused at once where its part would wait past the aim in each queue of its
// shard, however few misses there are: it would be late, and so would all behind it. Where a replica has no queue of
// ours, or the class takes an answer in part, it is taken (kochi-checkin hand+drain: 189 of 193 late ones were held past
// their aim for a shard whose other holder was out).
func TestRefusedWhereItWouldWait(t *testing.T) {
	for _, x := range []struct {
		class, first, second int // parts held for each server
		refused              bool
	}{{0, 200, 200, true}, {0, 200, 0, false}, {0, 2, 2, false}, {4, 200, 200, false}} {
		set := base()
		set.Classes = append(set.Classes, decision.Class{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Need: 1, Floor: 0.5})
		b := newBed(t, set, 0, 0)
		b.warm(60, 50*ms)
		for i, n := range []int{x.first, x.second} {
			s := b.m.Servers[decision.ServerID(i+1)]
			s.Cap = capRule.Min
			b.full(s)
			for range n {
				s.Hold(&fleet.Part{Q: &fleet.Query{Terms: &b.m.Set.Classes[0]}, QueueKey: tailguard.QueueKey{Seq: uint64(len(s.Held)), Deadline: b.now}})
			}
		}
		q, _ := b.query(x.class, 4*time.Second, 0)
		if _, is := b.last[q].(decision.Refuse); is != x.refused {
			t.Errorf("class %d, %d and %d held: last word %+v", x.class, x.first, x.second, b.last[q])
		}
	}
}

// full makes a server's parts out as many as may be, sent just now.
func (b *bed) full(s *fleet.Server) {
	p := &fleet.Part{Q: &fleet.Query{Terms: &b.m.Set.Classes[0], Ended: true}, Index: -1, MayRun: -1}
	for len(s.Out) < b.m.room(s) {
		s.Out = append(s.Out, &fleet.Attempt{P: p, S: s, At: b.now, Live: true})
	}
}

// Where every replica is full, a part goes to the queue that takes the least time, whoever's turn it is
// (kochi-checkin upgrade+hand: nine held at one that had two out, none at one that had six out, in turn).
func TestShortestQueue(t *testing.T) {
	b := newBed(t, base(), 0, 0)
	b.warm(60, 50*ms)
	quick, slow := b.m.Servers[1], b.m.Servers[2]
	quick.Cap, slow.Cap, slow.Turn = 8, 2, 0
	quick.Turn = b.m.Turn
	b.full(quick)
	b.full(slow)
	for range 3 {
		slow.Hold(&fleet.Part{Q: &fleet.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(slow.Held))}})
		quick.Hold(&fleet.Part{Q: &fleet.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(quick.Held))}})
	}
	if p := (&fleet.Part{Q: &fleet.Query{Terms: &b.m.Set.Classes[0]}}); b.m.pick(p) != quick {
		t.Errorf("put where it takes %.2f s, not %.2f s", b.m.expected(slow), b.m.expected(quick))
	}
}

// A part may wait for a cold server's next turn while the other replica's queue is longer; it leaves when the pace
// allows it and not before. To be cold makes no suspect (shard 0 there had all its parts at a store that stood still
// while the cold one's queue was empty).
func TestWaitsForCold(t *testing.T) {
	b := newBed(t, base(), 0, 0)
	b.warm(60, 50*ms)
	b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: 2, Cell: 0, State: decision.Ready, Nominal: 1, Started: b.now}}})
	b.run(2 * surveyGap) // what warm ones carry is told anew
	m, still, cold := b.m, b.m.Servers[1], b.m.Servers[2]
	b.full(still)
	if b.full(cold); m.tier(cold, &fleet.Part{Q: &fleet.Query{Terms: &m.Set.Classes[0]}}) == 2 {
		t.Error("a server is suspect for being cold")
	}
	cold.Out = nil
	for len(still.Held) < 200 {
		still.Hold(&fleet.Part{Q: &fleet.Query{}, QueueKey: tailguard.QueueKey{Seq: uint64(len(still.Held))}})
	}
	cold.SentAt = b.now
	_, parts := b.query(0, 4*time.Second, 0)
	if p := m.Parts[parts[0]]; p.Server != cold {
		t.Fatalf("held for server %d, where it takes %.2f s, not %.2f s", p.Server.ID, m.expected(still), m.expected(cold))
	}
	from := m.sendableFrom(cold)
	for len(b.sends) == 0 && b.now < from+time.Second {
		b.run(10 * ms)
	}
	if len(b.sends) != 1 || b.sends[0].at < from || b.sends[0].at > from+20*ms {
		t.Errorf("sent %+v, may leave from %v", b.sends, from)
	}
}

// What we hold for a server counts: an erring one that answers some at once is asked before a sound one whose
// parts wait here (hanbit-lots retune+drain: 39 held for the one sound of three, nothing out at the others).
func TestHeldPartsCount(t *testing.T) {
	set := base()
	set.MaxAttempts = 4
	b := newBed(t, set, 0, 0)
	b.warm(60, 50*ms)
	m, sound, errs := b.m, b.m.Servers[1], b.m.Servers[2]
	errs.Errors, errs.ErrorTook, errs.Bad, errs.BadAt, errs.FailedAt = 0.8, 0.002, 0.9, b.now, b.now+time.Minute // no trial is due there
	p := &fleet.Part{Q: &fleet.Query{Terms: &m.Set.Classes[0]}}
	if m.pick(p) != sound {
		t.Error("an erring server is asked while the sound one is free")
	}
	for len(sound.Held) < 40 {
		sound.Hold(&fleet.Part{QueueKey: tailguard.QueueKey{Seq: uint64(len(sound.Held))}})
	}
	if m.pick(p) != errs {
		t.Errorf("one more is held where it takes %.2f s", m.expected(sound))
	}
}

// Each of many mixers keeps to one replica of a shard while it serves, not all to the same; cold ones come beside, and
// the others where it cannot take a part. Few mixers keep to as many as their host has connections for.
func TestSubset(t *testing.T) {
	kept := func(b *bed) (list []*fleet.Server) {
		for _, s := range b.m.Order {
			if s.Listed && !s.Reserve {
				list = append(list, s)
			}
		}
		return list
	}
	set := base()
	set.Width, set.Siblings = 1, 400
	first := map[decision.ServerID]bool{}
	for seed := range uint64(20) {
		b := newBed(t, set, 0, 0, 0, 0)
		b.m, _ = New(set, seed)
		b.step(decision.ServerList{Kind: decision.Cached, Servers: []decision.ServerInfo{{ID: 1, State: decision.Ready}, {ID: 2, State: decision.Ready}, {ID: 3, State: decision.Ready}, {ID: 4, State: decision.Ready}}})
		b.warm(60, 50*ms)
		own := kept(b)
		if len(own) != 1 {
			t.Fatalf("a subset of %d", len(own))
		}
		first[own[0].ID] = true
		for _, s := range b.m.Order {
			if s.Reserve == (s.Lat > 0) {
				t.Errorf("server %d: of the reserve %v, got a part %v", s.ID, s.Reserve, s.Lat > 0)
			}
		}
		b.step(decision.ServerList{Kind: decision.Delta, Servers: []decision.ServerInfo{{ID: own[0].ID, State: decision.Gone}}})
		if next := kept(b); len(next) != 1 || next[0] == own[0] {
			t.Errorf("with the subset gone, %d are kept to", len(next))
		}
	}
	if len(first) != 4 {
		t.Errorf("20 mixers keep to %d of 4 servers", len(first))
	}
	set.Siblings = 36 // by chance one of four would have twice the mixers of another
	if n := len(kept(newBed(t, set, 0, 0, 0, 0))); n < 3 {
		t.Errorf("each of 36 keeps to %d of 4 servers", n)
	}
	for connections, want := range map[int]int{0: 4, 1: 1, 2: 2, 9: 4} {
		set.Siblings, set.Connections = 3, connections
		if n := len(kept(newBed(t, set, 0, 0, 0, 0))); n != want {
			t.Errorf("%d connections: %d of 4 servers are kept to, want %d", connections, n, want)
		}
	}
}

// Before the first survey there is nothing that the first server with a record could be slower than.
func TestFirstAnswerIsNoSuspect(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	b.query(0, 4*time.Second, 0)
	b.now += 50 * ms
	b.outcome(b.sends[0], decision.OK)
	if s := b.m.Servers[b.sends[0].Server]; b.m.Median != 0 || b.m.trust(s) < 1 {
		t.Errorf("trust %v after the first answer, with a median of %v", b.m.trust(s), b.m.Median)
	}
}

// A keyed part that is held past its window cannot be sent again: its query fails then, not at its end.
func TestHeldPastWindow(t *testing.T) {
	b := newBed(t, base(), 0, 1, 2)
	q, parts := b.query(1, 4*time.Second, 0)
	b.now += 10 * ms
	var cold []decision.ServerInfo
	for i := range 3 {
		cold = append(cold, decision.ServerInfo{ID: decision.ServerID(i + 1), Cell: i, State: decision.Ready, Nominal: 1, Started: b.now})
	}
	b.step(decision.ServerList{Kind: decision.Delta, Servers: cold}, decision.Outcome{Part: parts[0], Server: b.sends[0].Server, Status: decision.Error})
	for end := b.now + 310*ms; b.now < end; b.now += 10 * ms {
		b.step(decision.Wake{})
	}
	if _, ok := b.last[q].(decision.Fail); !ok || len(b.sends) != 1 {
		t.Errorf("%d sends, then %+v", len(b.sends), b.last[q])
	}
}
