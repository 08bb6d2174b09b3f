package lifecycle

import (
	"strings"

	"pulleygw.example/pulleygw/internal/gatherer/net/discovery"
)

// reloadKeys reads the keys of points in time again: a new first one signs, and tokens of the others stay good.
func (d *Daemon) reloadKeys() {
	if d.openSearch == nil || d.front.KeyFile == "" {
		return
	}
	if err := d.front.loadKeys(); err != nil {
		d.log.Warn("reload keys stay", "reason", err)
		return
	}
	d.openSearch.SetKeys(d.front.Keys)
	d.log.Info("reload keys", "file", d.front.KeyFile)
}

// Reload reads the configuration file again and puts its settings and its address of discovery in force. The file
// counts alone, as the environment still says what held at the start. A file that cannot be used in any part
// changes nothing. It may be called beside Drain, as what is in hand then needs a true list for seconds, but not beside itself.
func (d *Daemon) Reload(path string) {
	d.reloadKeys()
	c, err := LoadConfig(path, func(string) string { return "" })
	if err != nil {
		d.log.Warn("reload configuration stays", "reason", err)
		return
	}
	set, kept := c.Settings.Over(*d.settings.Load())
	for _, f := range []struct {
		name string
		same bool
	}{
		{"limits.cores", d.config.Cores == c.Cores}, {"limits.memory_mb", d.config.MemoryMB == c.MemoryMB},
		{"limits.sockets", d.config.Sockets == c.Sockets},
	} {
		if !f.same {
			kept = append(kept, f.name)
		}
	}
	for _, name := range kept {
		d.log.Warn("reload waits for the next start", "field", name)
	}
	// The core hears first, so that it knows each class by the time that a request names it.
	d.limits = d.reloadLimits(&set)
	set = d.applyLimits(set, d.limits)
	d.settings.Store(&set)
	var classes []string
	for i, name := range set.Classes {
		if set.Class(name) == i {
			classes = append(classes, name)
		}
	}
	d.log.Info("reload settings in force", "classes", strings.Join(classes, " "))
	d.watchMu.Lock()
	defer d.watchMu.Unlock()
	if c.Discovery == d.config.Discovery || d.stopWatch == nil {
		return // the watch goes on: a new one would not be told again what this one was; or nothing is in hand any more
	}
	// The old watch ends first, so that none of its news can follow the new list. Versions of one address
	// mean nothing at another: the new one is followed from its whole list on.
	d.stopWatch()
	d.config.Discovery = c.Discovery
	d.watch(discovery.Fresh)
	d.log.Info("reload discovery", "addr", c.Discovery)
}
