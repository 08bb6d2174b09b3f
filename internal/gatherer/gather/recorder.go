package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// Recorder: the fate of requests and attempts is passed to a recorder, which must not block.

// SetRecorder sets the function that receives the entries. It must be called before Run.
func (c *Core) SetRecorder(f func(record.Entry)) { c.recorder = f }

// micros converts a time on the core's clock to Unix time in microseconds, by one clock that does not go back.
func (c *Core) micros(at time.Duration) int64 {
	return c.start.UnixMicro() + (at - epoch).Microseconds()
}

var verdicts = map[limits.Action]string{limits.Admit: "admit", limits.Wait: "wait", limits.Reject: "refuse"}

// recordArrival records a request, what its route decided and the limits in force for it.
func (c *Core) recordArrival(r *Request, route string, d limits.Decision) {
	if c.recorder == nil {
		return
	}
	e := record.Entry{Kind: record.Arrived, At: c.micros(r.arrived), Request: r.ticket, Route: route, Verdict: verdicts[d.Action], Why: d.Reason}
	if r.Class < len(c.set.Classes) {
		k := c.set.Policy.Classes[r.Class]
		e.Class = c.set.Classes[r.Class]
		in := &record.InForce{Attempts: k.MaxAttempts, Timeout: (c.at(r.Deadline) - r.arrived).Microseconds()}
		if in.Attempts == 0 {
			in.Attempts = c.set.Policy.MaxAttempts
		}
		in.Hedging = c.set.Policy.Hedging
		if k.Effect == decision.Deduplicated {
			in.Window = k.DeduplicationWindow.Microseconds()
		}
		if r.gate != nil {
			l := r.gate.Limits
			in.MaxConcurrency, in.PerSecond, in.Burst = l.Concurrency.Max, l.Rate.PerSecond, l.Rate.Burst
			in.Ratio, in.Free, in.Span = l.Retries.Ratio, l.Retries.Minimum, l.Retries.Span.Microseconds()
		}
		e.In = in
	}
	c.recorder(e)
}

// recordWaited records what was decided on a request that was queued.
func (c *Core) recordWaited(r *Request, d limits.Decision) {
	if c.recorder != nil {
		c.recorder(record.Entry{Kind: record.Released, At: c.micros(c.now()), Request: r.ticket, Verdict: verdicts[d.Action], Why: d.Reason})
	}
}

// recordFinal records the end of a request.
func (c *Core) recordFinal(r *Request, verdict, why string) {
	if c.recorder != nil {
		c.recorder(record.Entry{Kind: record.Final, At: c.micros(c.now()), Request: r.ticket, Verdict: verdict, Why: why})
	}
}

var kinds = map[Kind]string{Answered: "answered", Rejected: "refused", Failed: "failed"}

var statuses = map[decision.Status]string{decision.OK: "ok", decision.Error: "error", decision.Rejected: "full", decision.TimedOut: "timed out",
	decision.ConnectFailed: "not connected", decision.Reset: "reset", decision.Cancelled: "cancelled", decision.NotSent: "not sent"}

// recordAttempt records the end of an attempt. One that was never sent has no time of sending.
func (c *Core) recordAttempt(a *Attempt, s decision.Status) {
	if c.recorder == nil {
		return
	}
	e := record.Entry{Kind: record.Attempt, At: c.micros(c.now()), Request: a.subquery.q.ticket, Shard: a.Shard, Number: a.Number,
		Store: uint32(a.Server), Status: statuses[s]}
	switch {
	case a.Load != nil:
		e.Step = record.LoadStep
	case a.Search != nil && a.Search.IDs != nil:
		e.Step = record.ListingStep
	}
	if a.called {
		e.Sent = c.micros(a.calledAt)
	}
	e.Ran = a.called && s != decision.Rejected && s != decision.ConnectFailed && s != decision.NotSent
	c.recorder(e)
}
