package coordinator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// maintenanceInterval is the time between two runs of the maintenance.
const maintenanceInterval = 250 * time.Millisecond

// serve runs all components until ctx ends. Then it shuts down: calls in flight are answered, the vote is transferred, and the
// components stop.
func serve(ctx context.Context, options options) error {
	internal, err := net.Listen("tcp4", options.self.Address)
	if err != nil {
		return eris.Wrap(err, "internal listener")
	}
	c := newCoordinator(options)
	server := rpc.NewServer()
	defer server.Close()
	c.registerHandlers(server)
	control, err := net.Listen("tcp4", c.self.Control)
	if err != nil {
		_ = internal.Close()
		return eris.Wrap(err, "control listener")
	}
	go func() { _ = server.Serve(internal) }()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	running := &sync.WaitGroup{}
	for _, run := range append(c.backgroundTasks(), c.membership.RunSampler, c.candidate.Run) {
		running.Go(func() { run(background) })
	}
	err = c.serveControl(ctx, control)
	c.transfer.Run(background)
	stop()
	running.Wait()
	c.log.Info("stopped")
	return err
}

// registerHandlers registers the handlers for calls from other processes.
func (c *coordinator) registerHandlers(server *rpc.Server) {
	c.acceptor.Serve(server)
	c.lessor.Serve(server)
	c.membership.RegisterHandlers(server)
	c.announcer.RegisterHandlers(server)
	c.fetcher.RegisterHandlers(server)
}

// backgroundTasks returns the functions that run in goroutines of their own, except for the gossip sampler and the lease
// candidate: tests do not run the first and control the second.
func (c *coordinator) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		c.membership.RunWatcher, c.catchUp.RunAtStart, c.membership.RunJoin, c.runMaintenance, c.fetcher.Run, c.placement.Run,
		c.drainSaver.Run,
	}
}

// runMaintenance runs the periodic checks at every maintenanceInterval. A run that has to read the register takes longer and
// delays the next one.
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
