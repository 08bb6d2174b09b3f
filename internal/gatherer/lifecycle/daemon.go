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

// Fractions of the limits of memory and sockets. The rest is spare: for the runtime, discovery, and closing connections.
const (
	memoryFraction     = 0.7   // of memory_mb, as the garbage collector's soft limit
	bodyFraction       = 0.125 // of memory_mb, for request bodies
	clientFraction     = 0.45  // of sockets, for clients
	keepAliveFraction  = 0.2   // of sockets, for idle clients' connections that are kept open: clients use a third at most
	openSearchFraction = 0.08  // of sockets, for clients of the OpenSearch-style front
	storeFraction      = 0.3   // of sockets, for lot stores
	searchDivisor      = 4     // memory_mb divided by this is for lot stores' answers to searches; a quarter of that for one search
	answerDivisor      = 32    // and for one answer of a lot store that speaks the API
	boundsDivisor      = 16    // and for remembered bounds of ranges
	boundBytes         = 128   // bytes of one such bound
)

// Bounds of the record: 512 MiB of files, and enough entries in memory for a disk that stalls for a second.
const (
	recordFile  = 16 << 20
	recordFiles = 32
	recordRing  = 16384
)

// finalAnswerWithin is how long after SIGTERM and the longest deadline the last answer is given: SIGKILL follows 0.7 s after
// the longest deadline, of which at most maxDeadline counts.
const (
	finalAnswerWithin = 300 * time.Millisecond
	maxDeadline       = 3 * time.Second
)

// acceptAfterSignal is how long after SIGTERM new connections are still accepted: they keep arriving for up to 0.4 s.
const acceptAfterSignal = 600 * time.Millisecond

// transport is a gather.Transport with its configuration.
type transport interface {
	gather.Transport
	Start(gather.Reporter)
	SetMaxConns(int)
}

// newTransport returns the transport to the lot stores: frames, or the API where the front's file says so.
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
		// A class that was added by a reload has its own name as index.
		return cmp.Or(indices[s.Classes[n]], s.Classes[n]), s.Policy.Classes[n].Effect != decision.Idempotent
	}
	return opensearch.NewStores(opensearch.StoresConfig{Class: class, Shards: set.Shards,
		ConnectTimeout: set.ConnectTimeout, ConnIdle: set.ConnIdle, WriteFor: set.WriteFor(), MaxConns: conns,
		MaxAnswer: c.MemoryMB << 20 / answerDivisor, Log: logger})
}

// listener is a listening socket with its server.
type listener struct {
	*http1.Server
	fraction float64 // of the sockets
	addr     net.Addr
	served   chan struct{}
}

// Daemon is a running gatherer. Start it with Start, stop it with Drain.
type Daemon struct {
	log        *slog.Logger
	core       *gather.Core
	settings   settings.Current
	mu         sync.Mutex
	listeners  []*listener       // under mu; the platform's, then the OpenSearch-style front's if it is on, then operations'
	openSearch *opensearch.Front // nil when off
	front      FrontConfig       // of the OpenSearch-style front
	limits     *config.Config    // in force, nil for none
	record     *record.Writer    // nil for none
	ops        *operations       // nil when off
	bodySlots  chan struct{}     // one slot for each request body that may be held in memory
	draining   atomic.Bool
	drained    sync.Once
	ready      atomic.Bool // Start has succeeded
	lameDuck   atomic.Bool // clients' connections are closed, for an operator or the store's drain mark
	admin      net.Listener
	calls      sync.Mutex // serialises operators' calls
	handover   handoverState
	tr         transport
	config     Config // as started with, and changed by reloads
	watchMu    sync.Mutex
	stopWatch  func() // under watchMu; stops the watch of discovery and waits for its end; nil once a drain has done so
}

// health is the state of the gatherer, for balancers.
func (d *Daemon) health() agentcheck.State {
	return agentcheck.State{Draining: d.draining.Load() || d.lameDuck.Load(), Load: d.core.Utilization()}
}

// Start starts a gatherer and returns when it is ready. A nil front leaves the OpenSearch-style front off, and nil
// operations the balancers' endpoints and the store. Stop it with Drain.
func Start(c Config, f *FrontConfig, o *OperationsConfig, logger *slog.Logger) (*Daemon, error) {
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))

	d, err := newDaemon(c, f, logger)
	if err != nil {
		return nil, err
	}
	go d.core.Run()
	if d.limits != nil {
		set := d.applyLimits(c.Settings, d.limits)
		d.settings.Store(&set)
		logger.Info("limits in force", "routes", len(d.limits.Limits.Routes), "file", c.LimitsFile)
	}
	if err := d.serve(c, f, o); err != nil {
		d.Drain()
		return nil, err
	}
	if err := d.offer(); err != nil {
		logger.Warn("handover cannot be offered", "reason", err)
	}
	d.ready.Store(true)
	logger.Info("ready", "name", c.Name, "listen", d.Addrs(), "known", len(c.Known.Servers))
	return d, nil
}

// newDaemon makes a gatherer with its core, transport, limits and record, none of which runs yet but the record.
func newDaemon(c Config, f *FrontConfig, logger *slog.Logger) (*Daemon, error) {
	slots := int(bodyFraction * float64(c.MemoryMB<<20) / mem.BufferSize)
	d := &Daemon{log: logger, config: c, bodySlots: make(chan struct{}, slots)}
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
			MaxBounds: c.MemoryMB << 20 / boundsDivisor / boundBytes, MaxBytes: c.MemoryMB << 20 / searchDivisor})
	}
	d.tr = tr
	d.applyProcessLimits()
	d.core = core
	if c.RecordDir != "" {
		d.record, err = record.Open(record.Config{Dir: c.RecordDir, FileSize: recordFile, Files: recordFiles, Ring: recordRing, Log: logger})
		if err != nil {
			return nil, err
		}
		core.SetRecorder(d.record.Record)
		logger.Info("record", "folder", c.RecordDir)
	}
	return d, nil
}

// serve gives the core its server list and then opens the listeners: a gatherer is ready only when it has its list.
func (d *Daemon) serve(c Config, f *FrontConfig, o *OperationsConfig) error {
	if err := d.openAdmin(); err != nil {
		return err
	}
	c.Known.Kind = decision.Cached
	d.core.UpdateServerList(c.Known)
	// A predecessor's list is newer than the one of the configuration; discovery is asked for the full list then.
	if d.restorePredecessor() {
		c.KnownSeq = discovery.Fresh
	}
	d.watch(c.KnownSeq)

	front := &platform.Front{Core: d.core, Settings: &d.settings, Ready: func() bool { return !d.health().Draining }}
	if err := d.open(c.Listen, c.Inherited, front.Handle, clientFraction); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if f != nil {
		if err := d.openOpenSearch(c, f); err != nil {
			return fmt.Errorf("opensearch front: listen: %w", err)
		}
	}
	if o != nil {
		ops, err := startOperations(d, c, o)
		if err != nil {
			return err
		}
		d.ops = ops
	}
	return nil
}

// openOpenSearch opens the OpenSearch-style front.
func (d *Daemon) openOpenSearch(c Config, f *FrontConfig) error {
	d.openSearch = &opensearch.Front{Core: d.core, Settings: &d.settings, Name: fmt.Sprintf("os-%s-%x", c.Name, c.Seed), Plans: f.Stores, Ties: f.Ties}
	d.openSearch.SetIndices(f.Indices)
	d.openSearch.SetKeys(f.Keys)
	d.front = *f
	return d.open(f.Listen, 0, d.openSearch.Handle, openSearchFraction)
}

// watch starts to watch discovery from a version on.
func (d *Daemon) watch(seq int64) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w := &discovery.Watcher{Addr: d.config.Discovery, Zones: d.settings.Load().Zones, Log: d.log, OnList: d.core.UpdateServerList,
		Instances: func() int { return d.settings.Load().Policy.Instances },
		Polling:   func() bool { return d.settings.Load().Policy.Polling }}
	go func() { w.Run(ctx, seq); close(ended) }()
	d.stopWatch = func() { cancel(); <-ended }
}

// listen listens on an address, or makes a listener of the descriptor that the platform passes. Only our copies of it are
// ever closed: the socket is the platform's.
func listen(addr string, inherited int) (net.Listener, error) {
	if inherited == 0 {
		return net.Listen("tcp", addr)
	}
	f := os.NewFile(uintptr(inherited), "LB_INHERITED_FD")
	if f == nil {
		return nil, fmt.Errorf("LB_INHERITED_FD: no descriptor %d", inherited)
	}
	defer func() { _ = f.Close() }() // our copy
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

// open starts a server on an address, with a fraction of the sockets.
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

// Addrs returns the addresses that the fronts listen on, the platform's first.
func (d *Daemon) Addrs() (addrs []string) {
	for _, x := range d.listeners {
		addrs = append(addrs, x.addr.String())
	}
	return addrs
}

// longestAnswer returns how long after SIGTERM every request that was read must have its final answer.
func (d *Daemon) longestAnswer() time.Duration {
	longest := time.Duration(0)
	for _, class := range d.settings.Load().Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDeadline) + finalAnswerWithin
}

// Drain shuts the gatherer down gracefully: it accepts connections for a short time, answers every request, and returns
// when all is done. Further calls do nothing.
func (d *Daemon) Drain() { d.drained.Do(d.drain) }

func (d *Daemon) drain() {
	d.draining.Store(true)
	within := d.longestAnswer()
	d.core.EndBy(time.Now().Add(within))
	for i, x := range d.listeners {
		if i == 0 && d.config.Inherited > 0 {
			d.log.Info("drain accepts no more", "answered_within", within)
			d.core.CloseQueue() // the successor takes the clients' next tries
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
