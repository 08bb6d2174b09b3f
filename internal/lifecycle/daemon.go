package lifecycle

import (
	"context"
	"fmt"
	"log"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gather"
	"pulleygw.example/pulleygw/internal/net/discovery"
	"pulleygw.example/pulleygw/internal/net/frames"
	"pulleygw.example/pulleygw/internal/net/http1"
	"pulleygw.example/pulleygw/internal/net/platform"
	"pulleygw.example/pulleygw/policy"
)

// Shares of the limits. The rest is spare: for the runtime, for discovery, for what is being closed.
const (
	memoryShare = 0.7  // of memory_mb, as the garbage collector's soft limit
	clientShare = 0.5  // of sockets, for clients
	storeShare  = 0.25 // of sockets, for lot stores
)

// acceptFor is how long after SIGTERM new connections are still accepted: they keep coming for up to 0.4 s.
const acceptFor = 600 * time.Millisecond

// Run serves until stop is closed, then drains. It returns when all that was taken has been answered.
func Run(c Config, logger *log.Logger, stop <-chan struct{}) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(math.Ceil(c.Cores)))

	transport := frames.New(frames.Config{Streams: c.Settings.StreamsPerConn, ConnectTimeout: c.Settings.ConnectTimeout,
		ConnIdle: c.Settings.ConnIdle, MaxConns: int(storeShare * float64(c.Sockets)), Log: logger})
	core, err := gather.New(c.Settings, c.Seed, transport, logger)
	if err != nil {
		return err
	}
	transport.Start(core)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	go core.Run()
	defer core.Stop()
	c.Known.Kind = policy.Cached
	core.List(c.Known)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcher := &discovery.Watcher{Addr: c.Discovery, Zones: c.Settings.Zones, Log: logger, Tell: core.List}
	go watcher.Run(ctx, c.KnownSeq)

	var draining atomic.Bool
	front := &platform.Front{Core: core, Settings: c.Settings, Ready: func() bool { return !draining.Load() }}
	server := &http1.Server{Handle: front.Handle, MaxConns: int(clientShare * float64(c.Sockets)), Log: logger}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	logger.Printf("ready: name=%s listen=%s known=%d", c.Name, listener.Addr(), len(c.Known.Servers))

	select {
	case <-stop:
	case err := <-served:
		return fmt.Errorf("listen: accepting ended: %w", err)
	}
	logger.Printf("drain: accepting for %v more", acceptFor)
	draining.Store(true)
	server.Drain()
	// The deadline lets Serve take what already waits in the backlog; closing would reset it.
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(acceptFor))
	<-served
	listener.Close()
	server.Wait()
	logger.Printf("drain: all answered, exiting")
	return nil
}
