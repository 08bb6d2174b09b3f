// Command simhost runs package policy under the simulator's protocol, on standard input and output: it hosts many instances
// that share nothing, and only translates.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/internal/gatherer/wire"
	"pulleygw.example/pulleygw/policy"
)

// instance is one scheduler and the protocol's numbers of its queries.
type instance struct {
	scheduler *policy.Scheduler
	events    []decision.Event
	numbers   map[float32]decision.QueryID
	byID      map[decision.QueryID]float32
}

// host is all instances of the simulation.
type host struct {
	instances map[uint32]*instance
	active    []uint32 // with events in this batch, in order of their first event
	current   uint32
	sheets    map[uint32][]decision.ServerInfo
	reply     wire.Reply
}

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// serve answers batches of events until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[uint32]*instance{}, sheets: map[uint32][]decision.ServerInfo{}}
	var buf []byte
	for n := 0; ; n++ {
		var f wire.Frame
		var err error
		if f, buf, err = wire.ReadFrame(r, buf); err != nil {
			if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && f.Body == nil {
				return nil
			}
			return fmt.Errorf("batch %d: %w", n, err)
		}
		h.active = h.active[:0]
		if err := f.Each(h.event); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		h.reply.Reset()
		for _, i := range h.active {
			if x := h.instances[i]; x != nil {
				h.step(i, x, time.Duration(f.NowUs)*time.Microsecond)
			}
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
	}
}

// event translates one record for the current instance.
func (h *host) event(e any) error {
	switch e := e.(type) {
	case wire.Context:
		h.current = e.Instance
		return nil
	case wire.Sheet:
		list := make([]decision.ServerInfo, len(e.Entries))
		for i, x := range e.Entries {
			list[i] = decision.ServerInfo{ID: decision.ServerID(x.Server), Zone: int(x.Zone), Cell: int(x.Cell),
				State: states[x.State], Nominal: float64(x.Nominal), Started: time.Duration(x.StartedUs) * time.Microsecond}
		}
		h.sheets[e.Table] = list
		return nil
	case wire.Create:
		set, err := settings.Parse(e.Options)
		if err != nil {
			return err
		}
		m, err := policy.New(set.Policy, e.Seed)
		if err != nil {
			return err
		}
		h.instances[h.current] = &instance{scheduler: m, numbers: map[float32]decision.QueryID{},
			byID: map[decision.QueryID]float32{}}
		h.touch()
		return nil
	case wire.Exit:
		delete(h.instances, h.current)
		return nil
	}
	if x := h.instances[h.current]; x != nil { // else the instance has exited
		h.instanceEvent(x, e)
		h.touch()
	}
	return nil
}

// instanceEvent translates one record for an instance.
func (h *host) instanceEvent(x *instance, e any) {
	switch e := e.(type) {
	case wire.Targets:
		l := decision.ServerList{Kind: kinds[e.Kind]}
		if l.Kind != decision.ListFailed {
			l.Servers = h.sheets[e.Table]
		}
		x.events = append(x.events, l)
	case wire.Query:
		if e.Shard < 0 {
			id := decision.QueryID(e.ID)
			x.numbers[e.Number], x.byID[id] = id, e.Number
			x.events = append(x.events, decision.QueryArrived{ID: id, Class: int(e.Class), Tenant: int(e.Tenant),
				Key: e.Key, Remaining: time.Duration(e.RemainingUs) * time.Microsecond, Subqueries: int(e.Share)})
		} else if id, ok := x.numbers[e.Number]; ok {
			x.events = append(x.events, decision.SubqueryArrived{ID: decision.SubqueryID(e.ID), Query: id,
				Shard: int(e.Shard), Weight: float64(e.Share)})
		}
	case wire.Outcome:
		status, ok := statuses[e.Status]
		if !ok {
			status = decision.Error
		}
		x.events = append(x.events, decision.Outcome{Subquery: decision.SubqueryID(e.ID), Server: decision.ServerID(e.Server),
			Attempt: int(e.Attempt), Status: status, Latency: time.Duration(e.LatencyUs) * time.Microsecond})
	case wire.ClientDisconnected:
		x.events = append(x.events, decision.ClientDisconnected{Query: decision.QueryID(e.ID)})
	case wire.HealthChecked:
		x.events = append(x.events, decision.HealthChecked{Server: decision.ServerID(e.Server), OK: e.Status == 0})
	case wire.Timer:
		x.events = append(x.events, decision.Wake{})
	}
}

// touch marks the current instance as active in this batch.
func (h *host) touch() {
	if !slices.Contains(h.active, h.current) {
		h.active = append(h.active, h.current)
	}
}

var (
	states   = map[uint8]decision.ServerState{0: decision.Deregistered, 1: decision.Ready, 2: decision.Draining}
	kinds    = map[uint8]decision.ListKind{0: decision.Delta, 2: decision.FullList, 3: decision.ListFailed, 4: decision.Cached}
	statuses = map[uint16]decision.Status{0: decision.OK, 13: decision.Error, 8: decision.Rejected, 4: decision.TimedOut,
		14: decision.ConnectFailed, 10: decision.Reset, 1: decision.Cancelled, 9: decision.NotSent}
)

// step runs a step of one instance and encodes its actions. A panic of the scheduler is reported.
func (h *host) step(i uint32, x *instance, now time.Duration) {
	h.reply.Speaking(i)
	defer func() {
		if p := recover(); p != nil {
			h.reply.Panic(fmt.Sprint(p))
		}
		x.events = x.events[:0]
	}()
	for _, a := range x.scheduler.Step(now, x.events) {
		switch a := a.(type) {
		case decision.Send:
			h.reply.Send(uint64(a.Subquery), uint32(a.Limit.Microseconds()), uint32(a.Server))
		case decision.Cancel:
			h.reply.Cancel(uint64(a.Subquery), uint8(a.Attempt))
		case decision.Answer:
			h.reply.Answer(uint64(a.Query), a.Complete)
			if a.Final {
				x.forget(a.Query)
			}
		case decision.Reject:
			h.reply.Reject(uint64(a.Query), uint32(a.RetryAfter.Microseconds()))
			x.forget(a.Query)
		case decision.Fail:
			h.reply.Fail(uint64(a.Query))
			x.forget(a.Query)
		case decision.HealthCheck:
			h.reply.HealthCheck(uint32(a.Server))
		case decision.CloseIdle:
			h.reply.CloseIdle(uint32(a.Server))
		case decision.WakeAt:
			h.reply.Timer(uint64(a.At.Microseconds()), 0)
		case decision.Subscribe:
			h.reply.Watch(true)
		case decision.Log:
			h.reply.Log(a.Text)
		}
	}
	for _, e := range x.events {
		if g, ok := e.(decision.ClientDisconnected); ok {
			x.forget(g.Query)
		}
	}
}

// forget drops the protocol's number of a query that has ended.
func (x *instance) forget(q decision.QueryID) {
	if n, ok := x.byID[q]; ok {
		delete(x.byID, q)
		delete(x.numbers, n)
	}
}
