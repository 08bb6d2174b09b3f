package coordinator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Times of the control listener and the shutdown.
const (
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 15 * time.Second
	idleTimeout     = time.Minute
	shutdownReserve = 2 * time.Second // of graceS, kept for the rest of the shutdown
	defaultGrace    = 8 * time.Second // where the settings have no graceS
)

// maintenanceInterval is the time between two steps of the maintenance.
const maintenanceInterval = 250 * time.Millisecond

// serve runs all components until ctx ends, then shuts down: calls in flight are answered, the vote is transferred, and the
// components stop.
func serve(ctx context.Context, options options) error {
	inner, err := net.Listen("tcp4", options.self.Address)
	if err != nil {
		return eris.Wrap(err, "internal listener")
	}
	c := newCoordinator(options)
	server := rpc.NewServer()
	defer server.Close()
	c.registerHandlers(server)
	control, err := net.Listen("tcp4", c.self.Control)
	if err != nil {
		_ = inner.Close()
		return eris.Wrap(err, "control listener")
	}
	go func() { _ = server.Serve(inner) }()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	running := &sync.WaitGroup{}
	for _, run := range append(c.loops(), c.membership.RunSampler, c.candidate.Run) {
		running.Go(func() { run(background) })
	}
	err = c.serveControl(ctx, control)
	c.transfer.Run(background)
	stop()
	running.Wait()
	c.log.Info("stopped")
	return err
}

// registerHandlers registers the calls of other processes.
func (c *coordinator) registerHandlers(server *rpc.Server) {
	c.acceptor.Serve(server)
	c.lessor.Serve(server)
	c.membership.RegisterHandlers(server)
	c.announcer.RegisterHandlers(server)
	c.fetcher.RegisterHandlers(server)
}

// loops are the goroutines of the components, but for the gossip and the candidacy, which tests run in their own way.
func (c *coordinator) loops() []func(context.Context) {
	return []func(context.Context){
		c.membership.Follow, c.catchUp.RunAtStart, c.membership.RunJoin, c.runMaintenance, c.fetcher.Run, c.placement.Run,
	}
}

// runMaintenance does at intervals what no call asks for, one step after the other. Where the register has to be read a step
// takes longer, and the next ones wait.
func (c *coordinator) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.membership.CheckReadiness()
		c.membership.PublishCoordinators()
		c.instances.checkIfDue()
		c.catchUp.Step(ctx)
	}
}

// serveControl serves the control API until ctx ends and the calls in flight are answered.
func (c *coordinator) serveControl(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: c.api.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		ErrorLog: c.log.StandardLogger(nil),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "control API")
	case <-ctx.Done():
	}
	c.log.Info("stopping")
	c.membership.BeginShutdown()
	grace := settings.Seconds(c.live.Current().Bounds.GraceS, defaultGrace)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(grace-shutdownReserve, grace/2))
	defer cancel()
	if err := server.Shutdown(limited); err != nil {
		_ = server.Close()
	}
	return nil
}
