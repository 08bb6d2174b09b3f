package lifecycle

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/config"
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/net/agentcheck"
	"pulleygw.example/pulleygw/internal/gatherer/net/discovery"
	"pulleygw.example/pulleygw/internal/gatherer/net/frames"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/net/opensearch"
	"pulleygw.example/pulleygw/internal/gatherer/net/platform"
	"pulleygw.example/pulleygw/internal/gatherer/record"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// Shares of the limits. The rest is spare: for the runtime, for discovery, for what is being closed.
const (
	memoryFraction     = 0.7   // of memory_mb, as the garbage collector's soft limit
	bodyFraction       = 0.125 // of memory_mb, for request bodies
	clientFraction     = 0.45  // of sockets, for clients
	keepAliveFraction  = 0.2   // of sockets, for clients' connections that are not pressed to close: they hold a third at most
	openSearchFraction = 0.08  // of sockets, for the second front's clients
	storeFraction      = 0.3   // of sockets, for lot stores
	searchDivisor      = 4     // of memory_mb, for lot stores' answers to searches; a quarter of that for one search
	answerDivisor      = 32    // of memory_mb, for one answer of a lot store that speaks the API
	boundsDivisor      = 16    // of memory_mb, for what is remembered of ranges
	boundBytes         = 128   // of one such memory
)

// Bounds of the record of attempts: 512 MiB of files, and so many entries in memory that a disk may stall for a second.
const (
	recordFile  = 16 << 20
	recordFiles = 32
	recordRing  = 16384
)

// answerFor is how long after SIGTERM the last answer is given where the clients' socket is inherited: SIGKILL
// comes 0.7 s after the longest deadline, of which at most 3 s count.
const (
	finalAnswerWithin = 300 * time.Millisecond
	maxDeadline       = 3 * time.Second
)

// acceptFor is how long after SIGTERM new connections are still accepted: they keep coming for up to 0.4 s.
const acceptAfterSignal = 600 * time.Millisecond

// transport is a gather.Transport that is told whom to report to.
type transport interface {
	gather.Transport
	Start(gather.Reporter)
	SetMaxConns(int)
}

// newTransport makes the side towards the lot stores: frames, or the API where the front's file says so.
func newTransport(c Config, f *FrontConfig, current *settings.Current, logger *slog.Logger) transport {
	set, conns := c.Settings, c.Settings.Policy.Connections
	if f == nil || !f.Stores {
		return frames.New(frames.Config{Streams: set.StreamsPerConn, ConnectTimeout: set.ConnectTimeout,
			ConnIdle: set.ConnIdle, WriteFor: set.WriteFor(), MaxConns: conns, Log: logger})
	}
	indices := map[string]string{}
	for index, class := range f.Indices {
		indices[class] = index
	}
	class := func(n int) (index string, keyed bool) {
		s := current.Load()
		// A class that came with a reload stands under its own name.
		return cmp.Or(indices[s.Classes[n]], s.Classes[n]), s.Policy.Classes[n].Effect != decision.Idempotent
	}
	return opensearch.NewStores(opensearch.StoresConfig{Class: class, Shards: set.Shards,
		ConnectTimeout: set.ConnectTimeout, ConnIdle: set.ConnIdle, WriteFor: set.WriteFor(), MaxConns: conns,
		MaxAnswer: c.MemoryMB << 20 / answerDivisor, Log: logger})
}

// listener is one listening socket and what serves it.
type listener struct {
	*http1.Server
	fraction float64 // of the descriptors
	addr     net.Addr
	served   chan struct{}
}

// Daemon is a gatherer that serves.
type Daemon struct {
	log        *slog.Logger
	core       *gather.Core
	settings   settings.Current
	mu         sync.Mutex
	listeners  []*listener       // under mu; the platform's first, then the OpenSearch-style front's if it is on, then operations'
	openSearch *opensearch.Front // nil when off
	front      FrontConfig       // of the second front
	limits     *config.Config    // in force, nil for none
	record     *record.Writer    // nil for none
	ops        *operations       // nil when off
	bodySlots  chan struct{}     // has room for the request bodies that may be held at once
	draining   atomic.Bool
	drained    sync.Once
	ready      atomic.Bool // started whole
	lameDuck   atomic.Bool // clients are sent away, by an operator or by the store's mark
	admin      net.Listener
	calls      sync.Mutex // operators' calls are carried out one after another
	handover   handoverState
	tr         transport
	config     Config // as started with, but for what a reload has changed
	watchMu    sync.Mutex
	stopWatch  func() // under watching; ends the watch of discovery and waits for its end; nil once a drain has done so
}

// state is how the gatherer is, for balancers.
func (d *Daemon) health() agentcheck.State {
	return agentcheck.State{Draining: d.draining.Load() || d.lameDuck.Load(), Load: d.core.Load()}
}

// Start makes a gatherer that serves. A nil front leaves the OpenSearch-style front off, and nil operations
// the balancers' endpoints and the store.
func Start(c Config, f *FrontConfig, o *OperationsConfig, logger *slog.Logger) (*Daemon, error) {
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))

	d := &Daemon{log: logger, config: c, bodySlots: make(chan struct{}, int(bodyFraction*float64(c.MemoryMB<<20)/mem.BufferSize))}
	d.settings.Store(&c.Settings)
	tr := newTransport(c, f, &d.settings, logger)
	core, err := gather.New(c.Settings, c.Seed, tr, logger)
	if err != nil {
		return nil, err
	}
	tr.Start(core)
	if d.limits, err = loadLimits(c.LimitsFile, &c.Settings); err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	if f != nil && f.Stores {
		core.ConfigureSearches(gather.SearchConfig{Phases: f.Phases, Ranges: c.Settings.Shards,
			Bounds: c.MemoryMB << 20 / boundsDivisor / boundBytes, Bytes: c.MemoryMB << 20 / searchDivisor})
	}
	d.tr = tr
	d.applyProcessLimits()
	d.core = core
	if c.RecordDir != "" {
		if d.record, err = record.Open(record.Config{Dir: c.RecordDir, FileSize: recordFile, Files: recordFiles, Ring: recordRing, Log: logger}); err != nil {
			return nil, err
		}
		core.SetRecorder(d.record.Record)
		logger.Info("record", "folder", c.RecordDir)
	}
	go core.Run()
	if d.limits != nil {
		set := d.applyLimits(c.Settings, d.limits)
		d.settings.Store(&set)
		logger.Info("limits in force", "routes", len(d.limits.Limits.Routes), "file", c.LimitsFile)
	}
	if err := d.openAdmin(); err != nil {
		d.Drain()
		return nil, err
	}
	c.Known.Kind = decision.Cached
	core.List(c.Known)
	// A predecessor's list is younger than the one that the configuration has; the whole one is asked for then.
	if d.restorePredecessor() {
		c.KnownSeq = discovery.Fresh
	}
	d.watch(c.KnownSeq)

	// Listeners open only now: a gatherer is ready when it has its list.
	front := &platform.Front{Core: core, Settings: &d.settings, Ready: func() bool { return !d.health().Draining }}
	if err := d.open(c.Listen, c.Inherited, front.Handle, clientFraction); err != nil {
		d.Drain()
		return nil, fmt.Errorf("listen: %w", err)
	}
	if f != nil {
		d.openSearch = &opensearch.Front{Core: core, Settings: &d.settings, Name: fmt.Sprintf("os-%s-%x", c.Name, c.Seed), Plans: f.Stores, Ties: f.Ties}
		d.openSearch.SetIndices(f.Indices)
		d.openSearch.SetKeys(f.Keys)
		d.front = *f
		if err := d.open(f.Listen, 0, d.openSearch.Handle, openSearchFraction); err != nil {
			d.Drain()
			return nil, fmt.Errorf("opensearch front: listen: %w", err)
		}
	}
	if o != nil {
		if d.ops, err = startOperations(d, c, o); err != nil {
			d.Drain()
			return nil, err
		}
	}
	if err := d.offer(); err != nil {
		logger.Warn("handover cannot be offered", "reason", err)
	}
	d.ready.Store(true)
	logger.Info("ready", "name", c.Name, "listen", d.Addrs(), "known", len(c.Known.Servers))
	return d, nil
}

// follow starts a watch of the configuration's discovery, from a version on.
func (d *Daemon) watch(seq int64) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w := &discovery.Watcher{Addr: d.config.Discovery, Zones: d.settings.Load().Zones, Log: d.log, OnList: d.core.List,
		Instances: func() int { return d.settings.Load().Policy.Instances },
		Polling:   func() bool { return d.settings.Load().Policy.Polling }}
	go func() { w.Run(ctx, seq); close(ended) }()
	d.stopWatch = func() { cancel(); <-ended }
}

// listen opens an address, or makes a listener of the descriptor that the platform holds for it. Of that one only
// our copies are ever closed: the socket is the platform's.
func listen(addr string, inherited int) (net.Listener, error) {
	if inherited == 0 {
		return net.Listen("tcp", addr)
	}
	f := os.NewFile(uintptr(inherited), "LB_INHERITED_FD")
	if f == nil {
		return nil, fmt.Errorf("LB_INHERITED_FD: no descriptor %d", inherited)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("LB_INHERITED_FD: %w", err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("LB_INHERITED_FD: descriptor %d is no TCP listener", inherited)
	}
	return l, nil
}

func (d *Daemon) open(addr string, inherited int, h http1.Handler, share float64) error {
	l, err := listen(addr, inherited)
	if err != nil {
		return err
	}
	x := &listener{http1.New(l.(*net.TCPListener), h, 0, d.log), share, l.Addr(), make(chan struct{})}
	x.Bodies = d.bodySlots
	d.mu.Lock()
	x.SetLimits(d.conns(x.fraction), d.conns(keepAliveFraction))
	d.mu.Unlock()
	go func() { x.Serve(); close(x.served) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, x)
	x.SetConnectionClose(d.lameDuck.Load())
	return nil
}

// Addrs tells where the fronts listen, the platform's first.
func (d *Daemon) Addrs() (addrs []string) {
	for _, x := range d.listeners {
		addrs = append(addrs, x.addr.String())
	}
	return addrs
}

// Drain goes on accepting for a short time, answers all that was taken, and returns when that is done.
// Further calls do nothing.
func (d *Daemon) Drain() { d.drained.Do(d.drain) }

func (d *Daemon) drain() {
	d.draining.Store(true)
	for i, x := range d.listeners {
		if i == 0 && d.config.Inherited > 0 {
			longest := time.Duration(0)
			for _, k := range d.settings.Load().Policy.Classes {
				longest = max(longest, k.Deadline)
			}
			longest = min(longest, maxDeadline) + finalAnswerWithin
			d.log.Info("drain accepts no more", "answered_within", longest)
			d.core.EndBy(time.Now().Add(longest))
			x.CloseListener()
			continue
		}
		d.log.Info("drain accepts for a while", "addr", x.addr.String(), "for", acceptAfterSignal)
		x.Drain(acceptAfterSignal)
	}
	for _, x := range d.listeners {
		<-x.served
		x.Wait()
	}
	if d.ops != nil {
		d.ops.close()
	}
	if d.admin != nil {
		d.admin.Close()
	}
	d.handover.close()
	d.watchMu.Lock()
	if d.stopWatch != nil {
		d.stopWatch()
		d.stopWatch = nil
	}
	d.watchMu.Unlock()
	d.core.Stop()
	if d.record != nil {
		d.record.Close()
		if total, dropped := d.record.Counts(); dropped > 0 {
			d.log.Warn("record entries dropped", "dropped", dropped, "total", total)
		}
	}
	d.log.Info("drain done")
}
