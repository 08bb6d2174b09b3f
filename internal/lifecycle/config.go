// Package lifecycle starts the daemon and stops it.
package lifecycle

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gather"
	"pulleygw.example/pulleygw/internal/net/discovery"
	"pulleygw.example/pulleygw/internal/settings"
)

// Config is what one daemon is told.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   gather.List
	KnownSeq                int64
	Settings                settings.Settings
}

// LoadConfig reads the configuration file. The environment's LB_NAME, LB_LISTEN and LB_DISCOVERY, where
// set, count for more. Every error names the field.
func LoadConfig(path string, env func(string) string) (c Config, err error) {
	if path == "" {
		return c, errors.New("LB_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("LB_CONFIG: %w", err)
	}
	if !gjson.ValidBytes(text) { // gjson's getters take garbage
		return c, fmt.Errorf("LB_CONFIG: %s is not JSON", path)
	}
	root := gjson.ParseBytes(text)
	pick := func(name, field string) string {
		if v := env(name); v != "" {
			return v
		}
		return root.Get(field).String()
	}
	c.Name, c.Listen, c.Discovery = pick("LB_NAME", "name"), pick("LB_LISTEN", "listen"), pick("LB_DISCOVERY", "discovery")
	for _, a := range [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return c, fmt.Errorf("%s: %w", a[0], err)
		}
	}
	if c.Seed, err = strconv.ParseUint(root.Get("seed").String(), 16, 64); err != nil {
		return c, fmt.Errorf("seed: not a hexadecimal number of 64 bits")
	}
	limits := root.Get("limits")
	c.Cores, c.MemoryMB, c.Sockets = limits.Get("cores").Float(), int(limits.Get("memory_mb").Int()), int(limits.Get("sockets").Int())
	switch {
	case c.Cores <= 0:
		return c, errors.New("limits.cores: missing or not above 0")
	case c.MemoryMB < 32:
		return c, errors.New("limits.memory_mb: missing or under 32")
	case c.Sockets < 128:
		return c, errors.New("limits.sockets: missing or under 128")
	}
	if c.Settings, err = settings.Parse([]byte(root.Get("settings").Raw)); err != nil {
		return c, err
	}
	if err := c.Settings.CheckDaemon(); err != nil {
		return c, err
	}
	if known := root.Get("known"); known.Exists() {
		if c.KnownSeq, c.Known, err = discovery.ParseList([]byte(known.Raw), c.Settings.Zones); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}
