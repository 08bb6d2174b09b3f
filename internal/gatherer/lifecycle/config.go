// Package lifecycle starts, reloads, hands over and stops the daemon. LoadConfig and its kin read the configuration, Start
// returns a Daemon, Daemon.Reload applies a changed configuration and Daemon.Drain shuts down gracefully.
package lifecycle

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/discovery"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/internal/gatherer/store"
)

// Config is the configuration of a daemon.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string         // address for operators' calls; empty for none
	Level                   *slog.LevelVar // of the log, which the file of limits may set; nil if it may not
	RecordDir               string         // of the record; empty for none
	LimitsFile              string         // of limits by route; none if empty or missing
	Inherited               int            // descriptor of the clients' listening socket, 0 to listen on Listen
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   gather.ServerList
	KnownSeq                int64
	Settings                settings.Settings
}

// LoadConfig reads the configuration file. The environment's LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_ADMIN override it.
// Every error names the field.
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
	addrs := [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}}
	if c.Admin = pick("LB_ADMIN", "admin"); c.Admin != "" {
		addrs = append(addrs, [2]string{"admin", c.Admin})
	}
	if fd := env("LB_INHERITED_FD"); fd != "" {
		if c.Inherited, err = strconv.Atoi(fd); err != nil || c.Inherited <= 2 {
			return c, fmt.Errorf("LB_INHERITED_FD: %q is not the number of a descriptor above 2", fd)
		}
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return c, fmt.Errorf("%s: %w", a[0], err)
		}
	}
	if c.Seed, err = strconv.ParseUint(root.Get("seed").String(), 16, 64); err != nil {
		return c, fmt.Errorf("seed: not a hexadecimal number of 64 bits")
	}
	if err := c.parseLimits(root.Get("limits")); err != nil {
		return c, err
	}
	if c.Settings, err = settings.ParseDaemon([]byte(root.Get("settings").Raw)); err != nil {
		return c, err
	}
	c.Settings.Policy.Connections = int(storeFraction * float64(c.Sockets))
	if known := root.Get("known"); known.Exists() {
		if c.KnownSeq, c.Known, err = discovery.ParseList([]byte(known.Raw), c.Settings.Zones); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// parseLimits takes in the limits of the process.
func (c *Config) parseLimits(limits gjson.Result) error {
	c.Cores = limits.Get("cores").Float()
	c.MemoryMB = int(limits.Get("memory_mb").Int())
	c.Sockets = int(limits.Get("sockets").Int())
	switch {
	case c.Cores <= 0:
		return errors.New("limits.cores: missing or not above 0")
	case c.MemoryMB < 32:
		return errors.New("limits.memory_mb: missing or under 32")
	case c.Sockets < 128:
		return errors.New("limits.sockets: missing or under 128")
	}
	return nil
}

// FrontConfig is the configuration of the OpenSearch-style front.
type FrontConfig struct {
	Listen  string
	Indices map[string]string // index to class
	Stores  bool              // the lot stores speak the API too, not frames
	Phases  search.Phases     // of searches at such lot stores; 0 for whichever is measured to be better
	Ties    bool              // such lot stores break ties by id
	KeyFile string            // of the keys of points in time; empty for a random key of this process
	Keys    *pages.Keys
}

// LoadFront reads the file of the OpenSearch-style front. Without the file that front is off, and the result is nil.
func LoadFront(path string, set *settings.Settings) (*FrontConfig, error) {
	root, err := optional(path)
	if err != nil || !root.Exists() {
		return nil, err
	}
	f := &FrontConfig{Listen: root.Get("listen").String()}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return nil, fmt.Errorf("%s: listen: %w", path, err)
	}
	if f.Indices, err = parseIndices(root.Get("indices"), set); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	switch s := root.Get("stores").String(); s {
	case "opensearch":
		f.Stores = true
	case "frames", "":
	default:
		return nil, fmt.Errorf("%s: stores: %q is neither frames nor opensearch", path, s)
	}
	f.KeyFile = root.Get("pit.keys").String()
	if err := f.loadKeys(); err != nil {
		return nil, fmt.Errorf("%s: pit.keys: %w", path, err)
	}
	ties := root.Get("ties").String()
	if f.Ties = ties != "none"; ties != "" && ties != "id" && ties != "none" {
		return nil, fmt.Errorf("%s: ties: %q is neither id nor none", path, ties)
	}
	phases, ok := map[string]search.Phases{"": 0, "auto": 0, "one": search.One, "two": search.Two}[root.Get("phases").String()]
	if f.Phases = phases; !ok {
		return nil, fmt.Errorf("%s: phases: %q is neither auto, one nor two", path, root.Get("phases").String())
	}
	if f.Phases == search.Two && !f.Stores {
		return nil, fmt.Errorf("%s: phases: two needs lot stores that speak opensearch, as parts in frames cannot be told apart", path)
	}
	return f, nil
}

// loadKeys reads the keys of points in time, or makes a random one where no file is configured.
func (f *FrontConfig) loadKeys() (err error) {
	if f.KeyFile == "" {
		key := make([]byte, 32)
		if _, err := rand.Read(key); err != nil {
			return fmt.Errorf("make a key: %w", err)
		}
		f.Keys, err = pages.NewKeys(key)
		return err
	}
	info, err := os.Stat(f.KeyFile)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 { // whoever reads a key can make tokens
		return fmt.Errorf("%s can be read by others: its mode is %v, want 0600", f.KeyFile, info.Mode().Perm())
	}
	text, err := os.ReadFile(f.KeyFile)
	if err != nil {
		return err
	}
	if f.Keys, err = pages.ParseKeys(text); err != nil {
		return fmt.Errorf("%s: %w", f.KeyFile, err)
	}
	return nil
}

// optional reads a JSON file. If the file is missing, the result does not exist.
func optional(path string) (gjson.Result, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return gjson.Result{}, nil
	}
	if err != nil {
		return gjson.Result{}, err
	}
	if !gjson.ValidBytes(text) { // gjson's getters take garbage
		return gjson.Result{}, fmt.Errorf("%s is not JSON", path)
	}
	return gjson.ParseBytes(text), nil
}

// parseIndices reads an object of indices, each for a class of its own. A class added by a reload may have none.
func parseIndices(object gjson.Result, set *settings.Settings) (map[string]string, error) {
	classes := map[string]string{}
	for index, class := range object.Map() {
		if set.Class(class.String()) < 0 || slices.Contains(slices.Collect(maps.Values(classes)), class.String()) {
			return nil, fmt.Errorf("indices.%s: not a class of the settings, or one named twice", index)
		}
		classes[index] = class.String()
	}
	if len(classes) == 0 {
		return nil, errors.New("indices: none is given")
	}
	return classes, nil
}

// OperationsConfig is the configuration of the endpoints for balancers and operators, and of the replicated store.
type OperationsConfig struct {
	AgentCheck, Health string
	Dir                string // of the store; empty for none
	Nodes              []store.Node
}

// LoadOperations reads the file of operations. Without the file all of them are off, and the result is nil.
func LoadOperations(path string) (*OperationsConfig, error) {
	root, err := optional(path)
	if err != nil || !root.Exists() {
		return nil, err
	}
	o := &OperationsConfig{AgentCheck: root.Get("agent_check").String(), Health: root.Get("health").String(),
		Dir: root.Get("store.dir").String()}
	addrs := [][2]string{{"agent_check", o.AgentCheck}, {"health", o.Health}}
	for i, n := range root.Get("store.nodes").Array() {
		o.Nodes = append(o.Nodes, store.Node{Name: n.Get("name").String(), Raft: n.Get("raft").String(), Operations: n.Get("operations").String()})
		field := fmt.Sprintf("store.nodes[%d].", i)
		addrs = append(addrs, [2]string{field + "raft", o.Nodes[i].Raft}, [2]string{field + "operations", o.Nodes[i].Operations})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, a[0], err)
		}
	}
	if (o.Dir == "") != (len(o.Nodes) == 0) {
		return nil, fmt.Errorf("%s: store: wants both dir and nodes", path)
	}
	return o, nil
}
