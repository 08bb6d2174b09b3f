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
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gather"
	"pulleygw.example/pulleygw/internal/net/discovery"
	"pulleygw.example/pulleygw/internal/net/frames"
	"pulleygw.example/pulleygw/internal/net/http1"
	"pulleygw.example/pulleygw/internal/net/opensearch"
	"pulleygw.example/pulleygw/internal/net/platform"
	"pulleygw.example/pulleygw/policy"
)

// Shares of the limits. The rest is spare: for the runtime, for discovery, for what is being closed.
const (
	memoryShare = 0.7  // of memory_mb, as the garbage collector's soft limit
	clientShare = 0.5  // of sockets, for clients
	secondShare = 0.1  // of sockets, for the second front's clients
	storeShare  = 0.25 // of sockets, for lot stores
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
	listener net.Listener
	served   chan struct{}
}

func open(addr string, h http1.Handler, conns int, logger *log.Logger) (*door, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &door{&http1.Server{Handle: h, MaxConns: conns, Log: logger}, l, make(chan struct{})}
	go func() { d.Serve(l); close(d.served) }()
	return d, nil
}

// Run serves until stop is closed, then drains. It returns when all that was taken has been answered.
func Run(c Config, f *FrontConfig, logger *log.Logger, stop <-chan struct{}) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))

	tr := newTransport(c, f, logger)
	core, err := gather.New(c.Settings, c.Seed, tr, logger)
	if err != nil {
		return err
	}
	tr.Start(core)
	go core.Run()
	defer core.Stop()
	c.Known.Kind = policy.Cached
	core.List(c.Known)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := &discovery.Watcher{Addr: c.Discovery, Zones: c.Settings.Zones, Log: logger, Tell: core.List}
	go watcher.Run(ctx, c.KnownSeq)

	// Doors open only now: a gatherer is ready when it has its list.
	var draining atomic.Bool
	front := &platform.Front{Core: core, Settings: c.Settings, Ready: func() bool { return !draining.Load() }}
	d, err := open(c.Listen, front.Handle, int(clientShare*float64(c.Sockets)), logger)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	doors := []*door{d}
	if f != nil {
		second := &opensearch.Front{Core: core, Settings: c.Settings, Indices: f.Indices, Name: fmt.Sprintf("os-%s-%x", c.Name, c.Seed)}
		d, err := open(f.Listen, second.Handle, int(secondShare*float64(c.Sockets)), logger)
		if err != nil {
			return fmt.Errorf("opensearch front: listen: %w", err)
		}
		doors = append(doors, d)
		logger.Printf("opensearch front: listen=%s", d.listener.Addr())
	}
	logger.Printf("ready: name=%s listen=%s known=%d", c.Name, d.listener.Addr(), len(c.Known.Servers))

	<-stop
	logger.Printf("drain: accepting for %v more", acceptFor)
	draining.Store(true)
	for _, d := range doors {
		d.Drain()
		// The deadline lets Serve end after what already came; closing at once would reset it.
		d.listener.(*net.TCPListener).SetDeadline(time.Now().Add(acceptFor))
	}
	for _, d := range doors {
		<-d.served
		d.listener.Close()
		d.Wait()
	}
	logger.Printf("drain: all answered, exiting")
	return nil
}
