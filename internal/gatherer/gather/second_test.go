package gather

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/policy"
)

// two gives the first class a second step of three parts, and no answer in part.
func two(c *Core) {
	k := &c.set.Policy.Classes[0]
	k.Fetch, k.Floor = 3, 1
	c.mixer, _ = policy.New(c.set.Policy, 1)
}

// firstStep answers a query's first step with scores by shard, and hands over the attempts of the second.
func firstStep(t *testing.T, c *Core, tr *transport, r *Request, scores map[int]float64, loads int) []*Attempt {
	t.Helper()
	c.Submit(r)
	for _, a := range collect(t, tr, len(r.Shards)) {
		if a.Load != nil {
			t.Errorf("shard %d is asked for its second step first", a.Shard)
		}
		c.Scored(a, fmt.Sprint("v", a.Shard), scores[a.Shard])
	}
	return collect(t, tr, loads)
}

// The second step goes to the shards with the highest scores, tells which were in, and its values are the answer.
func TestSecondStep(t *testing.T) {
	c, tr := start(t, two)
	r := ask(0, 6, 20*time.Second)
	loads := firstStep(t, c, tr, r, map[int]float64{0: 5, 1: 9, 2: -4, 3: 7, 4: 5, 5: 1}, 3)
	var asked []int
	for _, a := range loads {
		if a.Load == nil || !a.Load.Whole || !slices.Equal(a.Load.From, []int{0, 1, 2, 3, 4, 5}) || string(a.Text) != string(r.Text) {
			t.Errorf("shard %d tells %+v", a.Shard, a.Load)
		}
		asked = append(asked, a.Shard)
		if a.Shard == 3 { // any replica may answer it
			c.Outcome(a, decision.Error, "")
			continue
		}
		c.Outcome(a, decision.OK, fmt.Sprint("w", a.Shard))
	}
	if slices.Sort(asked); !slices.Equal(asked, []int{0, 1, 3}) { // of equals the first
		t.Errorf("asked shards %v", asked)
	}
	again := collect(t, tr, 1)[0]
	if again.Shard != 3 || again.Load == nil {
		t.Errorf("again %+v", again)
	}
	c.Outcome(again, decision.OK, "w3")
	res := <-r.Done
	values := map[int]string{}
	for _, p := range res.Values() {
		values[p.Shard] = p.Value
	}
	if res.Kind != Answered || !res.Whole || len(res.Parts) != 6 || fmt.Sprint(values) != "map[0:w0 1:w1 3:w3]" {
		t.Errorf("%v whole %v, values %v", res.Kind, res.Whole, values)
	}
}

// As many parts as were in, where these are fewer; and each has attempts of its own.
func TestSecondStepOfFew(t *testing.T) {
	c, tr := start(t, func(c *Core) { c.set.Policy.MaxAttempts = 2; two(c) })
	r := ask(0, 2, 20*time.Second)
	for _, a := range firstStep(t, c, tr, r, nil, 2) {
		c.Outcome(a, decision.Rejected, "")
	}
	for _, a := range collect(t, tr, 2) {
		c.Outcome(a, decision.OK, "w")
	}
	if res := <-r.Done; !res.Whole || len(res.Second) != 2 || res.Second[0].Attempts != 2 || res.Parts[0].Attempts != 3 {
		t.Errorf("%+v", res)
	}
}

// A second step that cannot be had ends the query, once, and nothing of the first is passed off as an answer.
func TestSecondStepFails(t *testing.T) {
	c, tr := start(t, two)
	r := ask(0, 4, 20*time.Second)
	loads := firstStep(t, c, tr, r, nil, 3)
	for n := 0; len(r.Done) == 0 && n < 20; n++ {
		for _, a := range loads {
			c.Outcome(a, decision.Error, "")
		}
		select {
		case loads = <-tr.calls:
		case res := <-r.Done:
			if res.Kind == Answered {
				t.Errorf("%+v", res)
			}
			return
		}
	}
	t.Error("no final answer")
}

// An answer without a score cannot be ranked: its part goes to another replica, and where none has a score the one
// query ends; in a class of one step nobody misses it.
func TestNoScore(t *testing.T) {
	c, tr := start(t, two)
	r := ask(0, 1, 20*time.Second)
	c.Submit(r)
	first := collect(t, tr, 1)[0]
	c.Outcome(first, decision.OK, "v")
	second := collect(t, tr, 1)[0]
	if second.Load != nil || second.Server == first.Server {
		t.Errorf("again %+v", second)
	}
	c.Scored(second, "v", 1)
	load := collect(t, tr, 1)[0]
	if load.Load == nil {
		t.Errorf("no second step: %+v", load)
	}
	c.Outcome(load, decision.OK, "w") // nothing is ranked by it
	if res := <-r.Done; !res.Whole || res.Values()[0].Value != "w" {
		t.Errorf("%+v", res)
	}
	r = ask(1, 1, 20*time.Second)
	c.Submit(r)
	c.Outcome(collect(t, tr, 1)[0], decision.OK, "v")
	if res := <-r.Done; !res.Whole || res.Values()[0].Value != "v" {
		t.Errorf("%+v", res)
	}
}

// A part of the first step that comes when the second has begun changes nothing: the second was told who was in.
func TestLateFirstStep(t *testing.T) {
	c, tr := start(t, func(c *Core) {
		k := &c.set.Policy.Classes[0]
		k.Fetch, k.Need, k.Floor = 1, 0.5, 0.5
		c.mixer, _ = policy.New(c.set.Policy, 1)
	})
	r := ask(0, 2, 20*time.Second)
	c.Submit(r)
	first := collect(t, tr, 1)[0]
	c.Scored(first, "v", 3)
	load := collect(t, tr, 1)[0]
	if load.Load == nil || !slices.Equal(load.Load.From, []int{first.Shard}) || load.Shard != first.Shard {
		t.Fatalf("%+v tells %+v", load, load.Load)
	}
	c.Outcome(load, decision.OK, "w")
	if res := <-r.Done; len(res.Values()) != 1 || res.Values()[0].Value != "w" || res.Parts[1-first.Shard].OK {
		t.Errorf("%+v", res)
	}
}

// A fault that one query brings out ends that query and no other.
func TestQueryPanic(t *testing.T) {
	c, tr := start(t, nil)
	other := ask(1, 1, 20*time.Second)
	c.Submit(other)
	held := collect(t, tr, 1)[0]
	r := ask(99, 1, 20*time.Second) // a class that there is not, which no front of ours submits
	r.Search = &search.Query{}
	c.Submit(r)
	if res := <-r.Done; res.Kind != Failed || res.Reason != ReasonPanic || len(res.Parts) != 1 {
		t.Errorf("%+v", res)
	}
	c.Outcome(held, decision.OK, "v")
	if res := <-other.Done; !res.Whole {
		t.Errorf("%+v", res)
	}
}
