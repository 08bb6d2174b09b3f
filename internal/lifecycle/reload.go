package lifecycle

import (
	"reflect"

	"pulleygw.example/pulleygw/internal/net/discovery"
)

// Reload reads the configuration file again and follows discovery at the address that it now names. The
// file wins over LB_DISCOVERY, which still has the address of the start. A file that cannot be used changes
// nothing. It must not be called beside itself or Drain.
func (d *Daemon) Reload(path string, env func(string) string) {
	c, err := LoadConfig(path, func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return env(name)
	})
	if err != nil {
		d.log.Printf("reload: the file cannot be used, the configuration stays: %v", err)
		return
	}
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"name", d.config.Name, c.Name}, {"listen", d.config.Listen, c.Listen},
		{"limits.cores", d.config.Cores, c.Cores}, {"limits.memory_mb", d.config.MemoryMB, c.MemoryMB},
		{"limits.sockets", d.config.Sockets, c.Sockets}, {"settings", d.config.Settings, c.Settings},
	} {
		if !reflect.DeepEqual(f.old, f.new) {
			d.log.Printf("reload: %s has changed, which takes effect at the next start only", f.name)
		}
	}
	// The old watch ends first, so that none of its news can follow the new list. Versions of one address
	// mean nothing at another: the new one is followed from its whole list on.
	d.unwatch()
	d.config.Discovery = c.Discovery
	d.follow(discovery.Fresh)
	d.log.Printf("reload: following discovery at %s", c.Discovery)
}
