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

// configureSecondStep gives class 0 a second step of three subqueries, and no partial answers.
func configureSecondStep(c *Core) {
	k := &c.set.Policy.Classes[0]
	k.Fetch, k.PartialFraction = 3, 1
	c.scheduler, _ = policy.New(c.set.Policy, 1)
}

// answerFirstStep submits a request, answers its first step with the scores by shard, and returns so many attempts of the second.
func answerFirstStep(t *testing.T, c *Core, tr *transport, r *Request, scores map[int]float64, loads int) []*Attempt {
	t.Helper()
	c.Submit(r)
	for _, a := range collect(t, tr, len(r.Shards)) {
		if a.FirstStep != nil {
			t.Errorf("shard %d got its second step first", a.Shard)
		}
		c.Scored(a, fmt.Sprint("v", a.Shard), scores[a.Shard])
	}
	return collect(t, tr, loads)
}

// The second step goes to the shards with the highest scores, tells them which shards answered the first, and its values
// make up the answer.
func TestSecondStep(t *testing.T) {
	c, tr := start(t, configureSecondStep)
	r := newRequest(0, 6, 20*time.Second)
	loads := answerFirstStep(t, c, tr, r, map[int]float64{0: 5, 1: 9, 2: -4, 3: 7, 4: 5, 5: 1}, 3)
	var shards []int
	for _, a := range loads {
		if a.FirstStep == nil || !a.FirstStep.Complete || !slices.Equal(a.FirstStep.From, []int{0, 1, 2, 3, 4, 5}) || string(a.Text) != string(r.Text) {
			t.Errorf("shard %d is told %+v", a.Shard, a.FirstStep)
		}
		shards = append(shards, a.Shard)
		if a.Shard == 3 { // retried at the other replica
			c.Outcome(a, decision.Error, "")
			continue
		}
		c.Outcome(a, decision.OK, fmt.Sprint("w", a.Shard))
	}
	if slices.Sort(shards); !slices.Equal(shards, []int{0, 1, 3}) { // 0 rather than 4, which has the same score
		t.Errorf("second step at shards %v", shards)
	}
	retry := collect(t, tr, 1)[0]
	if retry.Shard != 3 || retry.FirstStep == nil {
		t.Errorf("retry %+v", retry)
	}
	c.Outcome(retry, decision.OK, "w3")
	res := <-r.Done
	values := map[int]string{}
	for _, p := range res.Values() {
		values[p.Shard] = p.Value
	}
	if res.Kind != Answered || !res.Complete || len(res.Shards) != 6 || fmt.Sprint(values) != "map[0:w0 1:w1 3:w3]" {
		t.Errorf("kind %v, complete %v, values %v", res.Kind, res.Complete, values)
	}
}

// If fewer shards have answered than the second step asks, it asks all of them. Its subqueries have attempts of their own.
func TestSecondStepWithFewShards(t *testing.T) {
	c, tr := start(t, func(c *Core) { c.set.Policy.MaxAttempts = 2; configureSecondStep(c) })
	r := newRequest(0, 2, 20*time.Second)
	for _, a := range answerFirstStep(t, c, tr, r, nil, 2) {
		c.Outcome(a, decision.Rejected, "")
	}
	for _, a := range collect(t, tr, 2) {
		c.Outcome(a, decision.OK, "w")
	}
	if res := <-r.Done; !res.Complete || len(res.Second) != 2 || res.Second[0].Attempts != 2 || res.Shards[0].Attempts != 3 {
		t.Errorf("%+v", res)
	}
}

// If the second step fails, the query ends once, and the values of the first step are not returned as an answer.
func TestSecondStepFails(t *testing.T) {
	c, tr := start(t, configureSecondStep)
	r := newRequest(0, 4, 20*time.Second)
	loads := answerFirstStep(t, c, tr, r, nil, 3)
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

// An answer without a score cannot be ranked, so that the subquery is retried at another replica. No score is needed in a
// second step, nor in a class without one.
func TestAnswerWithoutScore(t *testing.T) {
	c, tr := start(t, configureSecondStep)
	r := newRequest(0, 1, 20*time.Second)
	c.Submit(r)
	first := collect(t, tr, 1)[0]
	c.Outcome(first, decision.OK, "v")
	second := collect(t, tr, 1)[0]
	if second.FirstStep != nil || second.Server == first.Server {
		t.Errorf("retry %+v after %+v", second, first)
	}
	c.Scored(second, "v", 1)
	fetch := collect(t, tr, 1)[0]
	if fetch.FirstStep == nil {
		t.Errorf("no second step: %+v", fetch)
	}
	c.Outcome(fetch, decision.OK, "w") // a second step needs no score
	if res := <-r.Done; !res.Complete || res.Values()[0].Value != "w" {
		t.Errorf("%+v", res)
	}
	r = newRequest(1, 1, 20*time.Second)
	c.Submit(r)
	c.Outcome(collect(t, tr, 1)[0], decision.OK, "v")
	if res := <-r.Done; !res.Complete || res.Values()[0].Value != "v" {
		t.Errorf("%+v", res)
	}
}

// A subquery of the first step that has not been answered when the second starts is not part of the answer.
func TestSecondStepBeforeAllAnswers(t *testing.T) {
	c, tr := start(t, func(c *Core) {
		k := &c.set.Policy.Classes[0]
		k.Fetch, k.CompleteFraction, k.PartialFraction = 1, 0.5, 0.5
		c.scheduler, _ = policy.New(c.set.Policy, 1)
	})
	r := newRequest(0, 2, 20*time.Second)
	c.Submit(r)
	first := collect(t, tr, 1)[0]
	c.Scored(first, "v", 3)
	fetch := collect(t, tr, 1)[0]
	if fetch.FirstStep == nil || !slices.Equal(fetch.FirstStep.From, []int{first.Shard}) || fetch.Shard != first.Shard {
		t.Fatalf("%+v is told %+v", fetch, fetch.FirstStep)
	}
	c.Outcome(fetch, decision.OK, "w")
	if res := <-r.Done; len(res.Values()) != 1 || res.Values()[0].Value != "w" || res.Shards[1-first.Shard].OK {
		t.Errorf("%+v", res)
	}
}

// A panic that one query causes fails that query and no other.
func TestQueryPanic(t *testing.T) {
	c, tr := start(t, nil)
	other := newRequest(1, 1, 20*time.Second)
	c.Submit(other)
	inFlight := collect(t, tr, 1)[0]
	r := newRequest(99, 1, 20*time.Second) // class 99 does not exist, which causes the panic
	r.Search = &search.Query{}
	c.Submit(r)
	if res := <-r.Done; res.Kind != Failed || res.Reason != ReasonPanic || len(res.Shards) != 1 {
		t.Errorf("%+v", res)
	}
	c.Outcome(inFlight, decision.OK, "v")
	if res := <-other.Done; !res.Complete {
		t.Errorf("%+v", res)
	}
}
