package lifecycle

import (
	"strings"

	"pulleygw.example/pulleygw/internal/gatherer/net/discovery"
)

// reloadKeys reads the keys of points in time again: the first one signs, and tokens of the others stay valid.
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

// Reload reads the configuration file again and applies its settings and its address of discovery. The environment is
// ignored, as it still says what held at the start. An unusable file changes nothing. Reload may run beside Drain, as
// requests in flight need the true server list for seconds, but not beside itself.
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
	// The core first, so that it knows each class by the time that a request names it.
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
		return // the watch continues: a new one would not be sent again what this one was; or the drain is over
	}
	// The old watch ends first, so that none of its updates can follow the new list. Versions of one address mean
	// nothing at another: the new one is asked for its full list.
	d.stopWatch()
	d.config.Discovery = c.Discovery
	d.watch(discovery.Fresh)
	d.log.Info("reload discovery", "addr", c.Discovery)
}
