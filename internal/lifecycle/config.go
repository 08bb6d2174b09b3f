// Package lifecycle starts the daemon and stops it.
package lifecycle

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
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

// FrontConfig says where the OpenSearch-style front listens, and what it serves.
type FrontConfig struct {
	Listen  string
	Indices map[string]string // index to class
	Stores  bool              // the lot stores speak the API as well, not frames
}

// LoadFront reads the second front's file. Without the file that front is off, and the result is nil.
func LoadFront(path string, set settings.Settings) (*FrontConfig, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !gjson.ValidBytes(text) { // gjson's getters take garbage
		return nil, fmt.Errorf("%s is not JSON", path)
	}
	root := gjson.ParseBytes(text)
	f := &FrontConfig{Listen: root.Get("listen").String(), Indices: map[string]string{}}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return nil, fmt.Errorf("%s: listen: %w", path, err)
	}
	for index, class := range root.Get("indices").Map() {
		if !slices.Contains(set.Classes, class.String()) || slices.Contains(slices.Collect(maps.Values(f.Indices)), class.String()) {
			return nil, fmt.Errorf("%s: indices.%s: not a class of the settings, or one named twice", path, index)
		}
		f.Indices[index] = class.String()
	}
	if len(f.Indices) != len(set.Classes) {
		return nil, fmt.Errorf("%s: indices: want one for each of the %d classes", path, len(set.Classes))
	}
	switch s := root.Get("stores").String(); s {
	case "opensearch":
		f.Stores = true
	case "frames", "":
	default:
		return nil, fmt.Errorf("%s: stores: %q is neither frames nor opensearch", path, s)
	}
	return f, nil
}
