package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// Recorder: what becomes of requests and attempts is told to whoever keeps the record. It must not wait.

// RecordTo names who takes entries. It must come before Run.
func (c *Core) RecordTo(f func(record.Entry)) { c.recorder = f }

// micros is a moment of the core's clock as the record has it: by one clock that does not go back.
func (c *Core) micros(at time.Duration) int64 {
	return c.start.UnixMicro() + (at - epoch).Microseconds()
}

var verdicts = map[limits.Verdict]string{limits.Admit: "admit", limits.Wait: "wait", limits.Refuse: "refuse"}

// recordArrival tells of a request, what its route decided and the limits in force for it.
func (c *Core) recordArrival(r *Request, route string, d limits.Decision) {
	if c.recorder == nil {
		return
	}
	e := record.Entry{Kind: record.Arrived, At: c.micros(r.arrived), Request: r.ticket, Route: route, Verdict: verdicts[d.Verdict], Why: d.Why}
	if r.Class < len(c.set.Classes) {
		k := c.set.Policy.Classes[r.Class]
		e.Class = c.set.Classes[r.Class]
		in := &record.InForce{Attempts: k.MaxAttempts, GiveUp: (c.at(r.Deadline) - r.arrived).Microseconds()}
		if in.Attempts == 0 {
			in.Attempts = c.set.Policy.MaxAttempts
		}
		in.Copies = c.set.Policy.Hedging
		if k.Effect == decision.Deduplicated {
			in.Window = k.Window.Microseconds()
		}
		if r.gate != nil {
			l := r.gate.Limits
			in.Most, in.PerSecond, in.Burst = l.Concurrency.Most, l.Rate.PerSecond, l.Rate.Burst
			in.Share, in.Free, in.Span = l.Repeats.Share, l.Repeats.Free, l.Repeats.Span.Microseconds()
		}
		e.In = in
	}
	c.recorder(e)
}

func (c *Core) recordWaited(r *Request, d limits.Decision) {
	if c.recorder != nil {
		c.recorder(record.Entry{Kind: record.Let, At: c.micros(c.now()), Request: r.ticket, Verdict: verdicts[d.Verdict], Why: d.Why})
	}
}

// recordFinal tells of a request's end.
func (c *Core) recordFinal(r *Request, verdict, why string) {
	if c.recorder != nil {
		c.recorder(record.Entry{Kind: record.Final, At: c.micros(c.now()), Request: r.ticket, Verdict: verdict, Why: why})
	}
}

var kinds = map[Kind]string{Answered: "answered", Refused: "refused", Failed: "failed"}

var statuses = map[decision.Status]string{decision.OK: "ok", decision.Error: "error", decision.Rejected: "full", decision.TimedOut: "timed out",
	decision.ConnectFailed: "not connected", decision.Reset: "reset", decision.Cancelled: "cancelled", decision.NotSent: "not sent"}

// recordAttempt tells of an attempt's end; one that never left has no time of leaving.
func (c *Core) recordAttempt(a *Attempt, s decision.Status) {
	if c.recorder == nil {
		return
	}
	e := record.Entry{Kind: record.Attempt, At: c.micros(c.now()), Request: a.part.q.ticket, Shard: a.Shard, Number: a.Number,
		Store: uint32(a.Server), Status: statuses[s]}
	switch {
	case a.Load != nil:
		e.Step = record.LoadStep
	case a.Ask != nil && a.Ask.IDs != nil:
		e.Step = record.ListingStep
	}
	if a.called {
		e.Sent = c.micros(a.handed)
	}
	e.Ran = a.called && s != decision.Rejected && s != decision.ConnectFailed && s != decision.NotSent
	c.recorder(e)
}
