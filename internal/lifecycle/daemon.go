package lifecycle

import (
	"context"
	"fmt"
	"log"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gather"
	"pulleygw.example/pulleygw/internal/mem"
	"pulleygw.example/pulleygw/internal/net/agentcheck"
	"pulleygw.example/pulleygw/internal/net/discovery"
	"pulleygw.example/pulleygw/internal/net/frames"
	"pulleygw.example/pulleygw/internal/net/http1"
	"pulleygw.example/pulleygw/internal/net/opensearch"
	"pulleygw.example/pulleygw/internal/net/platform"
	"pulleygw.example/pulleygw/internal/settings"
	"pulleygw.example/pulleygw/policy"
)

// Shares of the limits. The rest is spare: for the runtime, for discovery, for what is being closed.
const (
	memoryShare = 0.7   // of memory_mb, as the garbage collector's soft limit
	bodyShare   = 0.125 // of memory_mb, for request bodies
	clientShare = 0.45  // of sockets, for clients
	keepShare   = 0.2   // of sockets, for clients' connections that are not pressed to close: they hold a third at most
	secondShare = 0.08  // of sockets, for the second front's clients
	storeShare  = 0.3   // of sockets, for lot stores
)

// acceptFor is how long after SIGTERM new connections are still accepted: they keep coming for up to 0.4 s.
const acceptFor = 600 * time.Millisecond

// transport is a gather.Transport that is told whom to report to.
type transport interface {
	gather.Transport
	Start(gather.Reporter)
}

// newTransport makes the side towards the lot stores: frames, or the API where the front's file says so.
func newTransport(c Config, f *FrontConfig, logger *log.Logger) transport {
	set, conns := c.Settings, int(storeShare*float64(c.Sockets))
	if f == nil || !f.Stores {
		return frames.New(frames.Config{Streams: set.StreamsPerConn, ConnectTimeout: set.ConnectTimeout,
			ConnIdle: set.ConnIdle, MaxConns: conns, Log: logger})
	}
	sc := opensearch.StoresConfig{Indices: make([]string, len(set.Classes)), Shards: set.Shards,
		ConnectTimeout: set.ConnectTimeout, ConnIdle: set.ConnIdle, MaxConns: conns, Log: logger}
	for index, class := range f.Indices {
		sc.Indices[slices.Index(set.Classes, class)] = index
	}
	for _, k := range set.Policy.Classes {
		sc.Keyed = append(sc.Keyed, k.Effect != policy.Safe)
	}
	return opensearch.NewStores(sc)
}

// door is one listener and what serves it.
type door struct {
	*http1.Server
	addr   net.Addr
	served chan struct{}
}

// Daemon is a gatherer that serves.
type Daemon struct {
	log      *log.Logger
	core     *gather.Core
	settings settings.Settings
	doors    []*door           // the platform's first, then the OpenSearch-style front's if it is on, then operations'
	second   *opensearch.Front // nil when off
	ops      *operations       // nil when off
	bodies   chan struct{}     // has room for the request bodies that may be held at once
	draining atomic.Bool
	drained  sync.Once
	marked   atomic.Bool // the store marks this gatherer as draining
	config   Config      // as started with, but for what a reload has changed
	unwatch  func()      // ends the watch of discovery and waits for its end
}

// state is how the gatherer is, for balancers.
func (d *Daemon) state() agentcheck.State {
	return agentcheck.State{Draining: d.draining.Load() || d.marked.Load(), Load: d.core.Load()}
}

// Start makes a gatherer that serves. A nil front leaves the OpenSearch-style front off, and nil operations
// the balancers' endpoints and the store.
func Start(c Config, f *FrontConfig, o *OperationsConfig, logger *log.Logger) (*Daemon, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))

	tr := newTransport(c, f, logger)
	core, err := gather.New(c.Settings, c.Seed, tr, logger)
	if err != nil {
		return nil, err
	}
	tr.Start(core)
	d := &Daemon{log: logger, core: core, settings: c.Settings, config: c,
		bodies: make(chan struct{}, int(bodyShare*float64(c.MemoryMB<<20)/mem.BufferSize))}
	go core.Run()
	c.Known.Kind = policy.Cached
	core.List(c.Known)
	d.follow(c.KnownSeq)

	// Doors open only now: a gatherer is ready when it has its list.
	front := &platform.Front{Core: core, Settings: c.Settings, Ready: func() bool { return !d.state().Draining }}
	if err := d.open(c.Listen, front.Handle, int(clientShare*float64(c.Sockets))); err != nil {
		d.Drain()
		return nil, fmt.Errorf("listen: %w", err)
	}
	if f != nil {
		d.second = &opensearch.Front{Core: core, Settings: c.Settings, Name: fmt.Sprintf("os-%s-%x", c.Name, c.Seed)}
		d.second.SetIndices(f.Indices)
		if err := d.open(f.Listen, d.second.Handle, int(secondShare*float64(c.Sockets))); err != nil {
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
	logger.Printf("ready: name=%s listen=%v known=%d", c.Name, d.Addrs(), len(c.Known.Servers))
	return d, nil
}

// follow starts a watch of the configuration's discovery, from a version on.
func (d *Daemon) follow(seq int64) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w := &discovery.Watcher{Addr: d.config.Discovery, Zones: d.settings.Zones, Log: d.log, Tell: d.core.List}
	go func() { w.Run(ctx, seq); close(ended) }()
	d.unwatch = func() { cancel(); <-ended }
}

func (d *Daemon) open(addr string, h http1.Handler, conns int) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	x := &door{http1.New(l.(*net.TCPListener), h, conns, d.log), l.Addr(), make(chan struct{})}
	x.Bodies, x.Keep = d.bodies, min(conns, int(keepShare*float64(d.config.Sockets)))
	go func() { x.Serve(); close(x.served) }()
	d.doors = append(d.doors, x)
	return nil
}

// Addrs tells where the fronts listen, the platform's first.
func (d *Daemon) Addrs() (addrs []string) {
	for _, x := range d.doors {
		addrs = append(addrs, x.addr.String())
	}
	return addrs
}

// Drain goes on accepting for a short time, answers all that was taken, and returns when that is done.
// Further calls do nothing.
func (d *Daemon) Drain() { d.drained.Do(d.drain) }

func (d *Daemon) drain() {
	d.log.Printf("drain: accepting for %v more", acceptFor)
	d.draining.Store(true)
	for _, x := range d.doors {
		x.Drain(acceptFor)
	}
	for _, x := range d.doors {
		<-x.served
		x.Wait()
	}
	if d.ops != nil {
		d.ops.close()
	}
	d.unwatch()
	d.core.Stop()
	d.log.Printf("drain: all answered, exiting")
}
