package lifecycle

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/admin"
	"pulleygw.example/pulleygw/internal/gatherer/net/discovery"
	"pulleygw.example/pulleygw/internal/gatherer/net/handover"
)

// Handover: a process that inherits the clients' socket may be started beside another of its name, as its successor. Both
// count as one gatherer, so they share the limits, and an operator's call to either applies to both.

// handoverState is the connection to the other process.
type handoverState struct {
	mu       sync.Mutex
	listener net.Listener   // for a successor; nil for none
	link     *handover.Link // to the other process; nil without one
	closed   bool
}

func (h *handoverState) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.listener != nil {
		h.listener.Close()
	}
	if h.link != nil {
		h.link.Close()
	}
}

func (h *handoverState) other() *handover.Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.link
}

// path is the socket by which a successor finds this process.
func (d *Daemon) path() string { return filepath.Join(os.TempDir(), "pulleygw-"+d.config.Name+".sock") }

// overlapFraction is the fraction of the limits that each of two processes has: what each needs beside them counts twice.
const overlapFraction = 0.45

// conns is a fraction of the sockets.
func (d *Daemon) conns(fraction float64) int {
	return max(int(fraction*float64(d.config.Sockets)*d.processFraction()), 1)
}

// processFraction is the fraction of the limits that this process has.
func (d *Daemon) processFraction() float64 {
	if d.handover.other() != nil {
		return overlapFraction
	}
	return 1
}

// applyProcessLimits applies this process's fraction of the limits.
func (d *Daemon) applyProcessLimits() {
	debug.SetMemoryLimit(int64(memoryFraction * float64(d.config.MemoryMB) * (1 << 20) * d.processFraction()))
	d.tr.SetMaxConns(d.conns(storeFraction))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.listeners {
		x.SetLimits(d.conns(x.fraction), d.conns(keepAliveFraction))
	}
}

// restorePredecessor continues from a predecessor's state, if there is one. A failure never prevents the start.
func (d *Daemon) restorePredecessor() bool {
	if d.config.Inherited == 0 {
		return false
	}
	link, state, err := handover.Connect(d.path())
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	var s gather.Snapshot
	if err == nil {
		if s, err = d.snapshot(state); err != nil {
			link.Close()
		}
	}
	if err != nil {
		d.log.Warn("handover no predecessor", "reason", err)
		return false
	}
	d.core.Restore(s)
	if state.Drain {
		d.setLameDuck(true)
	}
	d.log.Info("handover took over", "stores", len(s.Servers), "records", len(s.Records), "out", s.Detached, "drain", state.Drain)
	d.setLink(link)
	go d.serveLink(link, false)
	return true
}

// offer listens for a successor.
func (d *Daemon) offer() error {
	if d.config.Inherited == 0 {
		return nil
	}
	l, err := handover.Listen(d.path())
	if err != nil {
		return err
	}
	h := &d.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		l.Close()
		return nil
	}
	h.listener = l
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			link, err := handover.Accept(nc, d.setLink, d.successorState)
			if err != nil {
				d.log.Warn("handover successor failed", "reason", err)
			}
			if link != nil {
				d.log.Info("handover successor has come")
				d.serveLink(link, true)
			}
		}
	}()
	return nil
}

// setLink sets the link to the other process and closes an earlier one.
func (d *Daemon) setLink(link *handover.Link) {
	h := &d.handover
	h.mu.Lock()
	if h.link != nil {
		h.link.Close()
	}
	if h.link = link; h.closed { // the drain has closed the links already
		link.Close()
	}
	h.mu.Unlock()
	d.applyProcessLimits()
}

// serveLink carries out the other process's calls until it has ended. Then this process has all of the limits.
func (d *Daemon) serveLink(link *handover.Link, successor bool) {
	err := link.Serve(func(m handover.Message) {
		d.apply(admin.Call{Verb: admin.Verb(m.Verb), Name: m.Name}, time.UnixMilli(m.AtMs))
	})
	h := &d.handover
	h.mu.Lock()
	if h.link == link {
		h.link = nil
	}
	h.mu.Unlock()
	if d.draining.Load() {
		return
	}
	d.log.Info("handover other has ended", "reason", err)
	d.applyProcessLimits()
	if !successor {
		return
	}
	h.mu.Lock()
	h.listener.Close()
	h.mu.Unlock()
	// The successor has failed: the name must lead here again.
	if err := d.offer(); err != nil {
		d.log.Warn("handover cannot be offered", "reason", err)
	}
}

// successorState is the state that a successor starts with.
func (d *Daemon) successorState() handover.State {
	s := d.core.Snapshot()
	zones := d.settings.Load().Zones
	x := handover.State{Hosts: discovery.AppendList(nil, 0, s.Servers, zones), Banned: append([]string{}, s.Detached...),
		Attached: map[string]int64{}, Drain: d.lameDuck.Load(), Records: []handover.Record{}, PerSecond: s.PerSecond}
	for name, at := range s.AttachedAt {
		x.Attached[name] = at.UnixMilli()
	}
	for name, r := range s.Records {
		slowStart := int64(-1)
		if r.SlowStartAge >= 0 {
			slowStart = r.SlowStartAge.Milliseconds()
		}
		x.Records = append(x.Records, handover.Record{Name: name, Answers: r.LatencyCounts, Latency: r.Latency,
			Failing: r.FailureRate, Cap: r.Cap, SlowStartMs: slowStart})
	}
	return x
}

// snapshot converts a predecessor's state.
func (d *Daemon) snapshot(state *handover.State) (s gather.Snapshot, err error) {
	_, list, err := discovery.ParseList(state.Hosts, d.settings.Load().Zones)
	if err != nil {
		return s, err
	}
	if len(list.Servers) == 0 {
		return s, fmt.Errorf("its list is empty")
	}
	s = gather.Snapshot{Servers: list.Servers, Detached: state.Banned, AttachedAt: map[string]time.Time{}, Records: map[string]decision.Record{},
		PerSecond: state.PerSecond}
	for name, at := range state.Attached {
		s.AttachedAt[name] = time.UnixMilli(at)
	}
	for _, r := range state.Records {
		slowStart := time.Duration(-1)
		if r.SlowStartMs >= 0 {
			slowStart = time.Duration(r.SlowStartMs) * time.Millisecond
		}
		s.Records[r.Name] = decision.Record{LatencyCounts: r.Answers, Latency: r.Latency, FailureRate: r.Failing, Cap: r.Cap, SlowStartAge: slowStart}
	}
	return s, nil
}
