package lifecycle

import (
	"errors"
	"fmt"
	"net"
	"time"

	"pulleygw.example/pulleygw/internal/net/admin"
)

// openAdmin listens for operators' calls, where the configuration says.
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

// call carries out an operator's call. What it says yes to is in force.
func (d *Daemon) call(c admin.Call) (string, error) {
	if c.Verb == admin.Ping {
		if !d.ready.Load() || d.state().Draining {
			return "", errors.New("not ready")
		}
		return "ready", nil
	}
	known := true
	switch c.Verb {
	case admin.Detach:
		known = d.core.Detach(c.Name)
	case admin.Attach:
		known = d.core.Attach(c.Name, time.Now())
	case admin.LameDuck:
		d.sendAway(true)
	case admin.Rejoin:
		d.sendAway(false)
	}
	if !known {
		return "", fmt.Errorf("no lot store %s is known", c.Name)
	}
	d.log.Printf("operator: %s %s", c.Verb, c.Name)
	return "done", nil
}

// sendAway sets the one drain state: not ready, and clients' connections close as they are answered.
func (d *Daemon) sendAway(on bool) {
	d.lame.Store(on)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.doors {
		x.SendAway(on)
	}
}
