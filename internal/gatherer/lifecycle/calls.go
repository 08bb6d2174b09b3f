package lifecycle

import (
	"errors"
	"fmt"
	"net"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/net/admin"
	"pulleygw.example/pulleygw/internal/gatherer/net/handover"
)

// openAdmin listens for operators' calls, if an address is configured.
func (d *Daemon) openAdmin() error {
	if d.config.Admin == "" {
		return nil
	}
	l, err := net.Listen("tcp", d.config.Admin)
	if err != nil {
		return fmt.Errorf("admin: listen: %w", err)
	}
	d.admin = l
	go admin.New(l, d.call).Serve()
	return nil
}

// call carries out an operator's call, here and at the other process if there is one, and returns the answer.
func (d *Daemon) call(c admin.Call) (string, error) {
	if c.Verb == admin.Ping {
		if !d.ready.Load() || d.health().Draining {
			return "", errors.New("not ready")
		}
		return "ready", nil
	}
	if !d.ready.Load() {
		return "", errors.New("starting")
	}
	d.calls.Lock() // the other process gets them in the same order
	defer d.calls.Unlock()
	now := time.Now()
	if !d.apply(c, now) {
		return "", fmt.Errorf("no lot store %s is known", c.Name)
	}
	if link := d.handover.other(); link != nil {
		if err := link.Call(handover.Message{Verb: string(c.Verb), Name: c.Name, AtMs: now.UnixMilli()}); err != nil {
			d.log.Warn("handover call not taken", "call", c.Verb, "name", c.Name, "reason", err)
		}
	}
	return "done", nil
}

// apply applies a call in this process, and reports whether its lot store is known.
func (d *Daemon) apply(c admin.Call, at time.Time) (known bool) {
	known = true
	switch c.Verb {
	case admin.Detach:
		known = d.core.Detach(c.Name)
	case admin.Attach:
		known = d.core.Attach(c.Name, at)
	case admin.LameDuck:
		d.setLameDuck(true)
	case admin.Rejoin:
		d.setLameDuck(false)
	}
	if known {
		d.log.Info("operator", "call", c.Verb, "name", c.Name)
	}
	return known
}

// setLameDuck sets the drain state: not ready, and clients' connections are closed as they are answered.
func (d *Daemon) setLameDuck(on bool) {
	d.lameDuck.Store(on)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.listeners {
		x.SetConnectionClose(on)
	}
}
