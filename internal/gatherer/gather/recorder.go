package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// Arrival and end of requests and attempts are passed to a recorder.

// SetRecorder sets the function that receives the entries, which must not block. It must be called before Run.
func (c *Core) SetRecorder(f func(record.Entry)) { c.recorder = f }

// unixMicros converts a time on the scheduler's clock to Unix time in microseconds. The result is monotonic: it is based on
// the system's clock at the start of the process alone.
func (c *Core) unixMicros(at time.Duration) int64 {
	return c.start.UnixMicro() + (at - epoch).Microseconds()
}

var actionNames = map[limits.Action]string{limits.Admit: "admit", limits.Wait: "wait", limits.Reject: "refuse"}

// recordArrival records a request, the decision of its route and the limits in force for it.
func (c *Core) recordArrival(r *Request, route string, d limits.Decision) {
	if c.recorder == nil {
		return
	}
	e := record.Entry{Kind: record.Arrived, At: c.unixMicros(r.arrived), Request: r.arrivalID, Route: route, Verdict: actionNames[d.Action], Why: d.Reason}
	if r.Class < len(c.set.Classes) {
		k := c.set.Policy.Classes[r.Class]
		e.Class = c.set.Classes[r.Class]
		in := &record.InForce{Attempts: k.MaxAttempts, Timeout: (c.clockTime(r.Deadline) - r.arrived).Microseconds()}
		if in.Attempts == 0 {
			in.Attempts = c.set.Policy.MaxAttempts
		}
		in.Hedging = c.set.Policy.Hedging
		if k.Effect == decision.Deduplicated {
			in.Window = k.DeduplicationWindow.Microseconds()
		}
		if r.limiter != nil {
			l := r.limiter.Limits
			in.MaxConcurrency, in.PerSecond, in.Burst = l.Concurrency.Max, l.Rate.PerSecond, l.Rate.Burst
			in.Ratio, in.Free, in.Span = l.Retries.Ratio, l.Retries.Minimum, l.Retries.Span.Microseconds()
		}
		e.In = in
	}
	c.recorder(e)
}

// recordDequeued records the decision on a request that was queued.
func (c *Core) recordDequeued(r *Request, d limits.Decision) {
	if c.recorder != nil {
		c.recorder(record.Entry{Kind: record.Released, At: c.unixMicros(c.now()), Request: r.arrivalID, Verdict: actionNames[d.Action], Why: d.Reason})
	}
}

// recordFinal records how a request ended.
func (c *Core) recordFinal(r *Request, verdict, why string) {
	if c.recorder != nil {
		c.recorder(record.Entry{Kind: record.Final, At: c.unixMicros(c.now()), Request: r.arrivalID, Verdict: verdict, Why: why})
	}
}

var kindNames = map[Kind]string{Answered: "answered", Rejected: "refused", Failed: "failed"}

var statusNames = map[decision.Status]string{decision.OK: "ok", decision.Error: "error", decision.Rejected: "full", decision.TimedOut: "timed out",
	decision.ConnectFailed: "not connected", decision.Reset: "reset", decision.Cancelled: "cancelled", decision.NotSent: "not sent"}

// recordAttempt records how an attempt ended. Sent stays 0 for one that was never handed to the transport.
func (c *Core) recordAttempt(a *Attempt, s decision.Status) {
	if c.recorder == nil {
		return
	}
	e := record.Entry{Kind: record.Attempt, At: c.unixMicros(c.now()), Request: a.subquery.q.arrivalID, Shard: a.Shard, Number: a.Number,
		Store: uint32(a.Server), Status: statusNames[s]}
	switch {
	case a.FirstStep != nil:
		e.Step = record.LoadStep
	case a.Search != nil && a.Search.IDs != nil:
		e.Step = record.ListingStep
	}
	if a.handedOver {
		e.Sent = c.unixMicros(a.handedOverAt)
	}
	e.Ran = a.handedOver && s != decision.Rejected && s != decision.ConnectFailed && s != decision.NotSent
	c.recorder(e)
}
