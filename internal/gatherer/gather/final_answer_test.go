package gather

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Once a request has its final answer, or its client has disconnected, its attempts are stale, so that a transport does not
// write them even if the scheduler's cancellation has not reached it yet. A busy machine may delay that arbitrarily.
func TestNothingIsWrittenAfterTheFinalAnswer(t *testing.T) {
	const wait = 20 * time.Second
	for name, end := range map[string]func(c *Core, r *Request, sent []*Attempt){
		"partial answer refused": func(c *Core, r *Request, sent []*Attempt) {
			r.CompleteOnly = true
			for _, a := range sent[1:] {
				c.recordOutcome(a, decision.OK, "v", nil)
			}
			query, _ := c.inFlight.Query(r.id)
			c.relayAnswer(decision.Answer{Query: decision.QueryID(query.id), Final: true})
		},
		"rejection": func(c *Core, r *Request, _ []*Attempt) {
			c.relayRejection(decision.Reject{Query: decision.QueryID(r.id)})
		},
		"failure": func(c *Core, r *Request, _ []*Attempt) {
			c.relayFailure(decision.Fail{Query: decision.QueryID(r.id)})
		},
		"shutdown": func(c *Core, _ *Request, _ []*Attempt) {
			c.endBy = time.Now()
			c.endAllIfDue(c.now())
		},
		"panic": func(c *Core, r *Request, _ []*Attempt) {
			query, _ := c.inFlight.Query(r.id)
			c.failOnPanic(query, func() { panic("test panic") })
		},
		"client disconnected": func(c *Core, r *Request, _ []*Attempt) {
			c.endForClient(r)
			r.Done <- Result{} // the core sends no answer in this case
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, tr := manualCore(t)
			r := newRequest(0, 4, wait)
			c.Submit(r)
			receiveAll(c)
			var sent []*Attempt
			for range stepsToSend {
				c.step()
				sent = append(sent, sentAttempts(tr)...)
			}
			if len(sent) != len(r.Shards) {
				t.Fatalf("%d attempts sent", len(sent))
			}
			end(c, r, sent)
			<-r.Done
			for _, a := range sent {
				if !a.ended && !a.Stale(time.Now()) {
					t.Errorf("the attempt at shard %d may still be written", a.Shard)
				}
			}
		})
	}
}

// Attempts are handed to the transport at the end of a step. If their query ends earlier in the same step, they are not
// sent.
func TestAttemptIsNotSentIfItsQueryEndsInTheSameStep(t *testing.T) {
	c, tr := manualCore(t)
	r := newRequest(0, 1, 20*time.Second)
	c.Submit(r)
	receiveAll(c)
	query, _ := c.inFlight.Query(r.id)
	c.steppedAt = c.now()
	c.addSend(decision.Send{Subquery: decision.SubqueryID(query.subqueries[0].id), Server: 1, Limit: time.Second})
	c.failOnPanic(query, func() { panic("test panic") })
	c.sendCalls()
	if sent := sentAttempts(tr); len(sent) > 0 {
		t.Errorf("sent after the final answer: %+v", sent[0])
	}
	if len(c.attempts) != 0 {
		t.Errorf("%d attempts left in flight", len(c.attempts))
	}
}
