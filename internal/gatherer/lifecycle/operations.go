package lifecycle

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/textproto"
	"os"
	"strings"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/net/agentcheck"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/store"
)

// operations serves balancers and operators. It reads the daemon's state, and sets its drain mark and the indices of the
// OpenSearch-style front; no scheduling decision depends on it.
type operations struct {
	daemon      *Daemon
	store       *store.Store // nil without one
	agent       net.Listener
	drainMarked bool // the store marks this gatherer as draining; owned by the store's goroutine
}

// operationsFraction is the fraction of the sockets for balancers and operators.
const operationsFraction = 0.015

// startOperations opens the endpoints and joins the store.
func startOperations(d *Daemon, c Config, o *OperationsConfig) (_ *operations, err error) {
	x := &operations{daemon: d}
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return nil, fmt.Errorf("store.dir: %w", err)
		}
		changed := func(values map[string]string) { x.changed(c, values) }
		if x.store, err = store.Open(store.Config{Name: c.Name, Dir: o.Dir, Nodes: o.Nodes, Log: slog.NewLogLogger(d.log.Handler(), slog.LevelInfo).Writer(), OnChange: changed}); err != nil {
			return nil, err
		}
	}
	if x.agent, err = net.Listen("tcp", o.AgentCheck); err != nil {
		x.close()
		return nil, fmt.Errorf("operations: agent_check: %w", err)
	}
	if err := d.open(o.Health, 0, x.handle, operationsFraction); err != nil {
		x.close()
		return nil, fmt.Errorf("operations: health: %w", err)
	}
	go agentcheck.Serve(x.agent, d.health)
	d.log.Info("operations", "agent_check", x.agent.Addr().String(), "health", d.Addrs()[len(d.listeners)-1])
	return x, nil
}

// close closes the endpoints and leaves the store.
func (x *operations) close() {
	if x.agent != nil {
		x.agent.Close()
	}
	if x.store != nil {
		_ = x.store.Close() // at the end of the process; the store syncs what it acknowledges
	}
}

// The keys of the store.
const (
	drainKey   = "drain/"
	indicesKey = "front/indices"
)

// changed applies the values of the store.
func (x *operations) changed(c Config, values map[string]string) {
	marked := values[drainKey+c.Name] == "on"
	if x.drainMarked != marked { // the last change counts, the store's or that of an operator's call
		x.drainMarked = marked
		x.daemon.log.Info("store drain mark", "on", marked)
		x.daemon.setLameDuck(marked)
	}
	if text, ok := values[indicesKey]; ok && x.daemon.openSearch != nil {
		indices, err := parseIndices(gjson.Parse(text), x.daemon.settings.Load())
		if err != nil {
			x.daemon.log.Warn("store value cannot be used", "key", indicesKey, "reason", err)
			return
		}
		x.daemon.openSearch.SetIndices(indices)
	}
}

// handle answers health checks, limits and, where there is a store, reads and changes of it.
func (x *operations) handle(r *http1.Request, _ <-chan struct{}) *http1.Response {
	if p := agentcheck.Health(r, x.daemon.health); p != nil {
		return p
	}
	if r.Path == "/-/limits" {
		if r.Method != "GET" {
			return http1.Text(405, "the counts are a GET")
		}
		b, err := json.Marshal(x.daemon.core.LimiterCounts())
		if err != nil {
			return http1.Text(500, err.Error())
		}
		return &http1.Response{Status: 200, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}, Body: b}
	}
	key, isState := strings.CutPrefix(r.Path, "/-/state")
	key = strings.TrimPrefix(key, "/")
	switch {
	case !isState || x.store == nil:
		return http1.Text(404, "nothing is here")
	case r.Method == "GET" && key == "":
		b, err := json.Marshal(x.store.Values())
		if err != nil {
			return http1.Text(500, err.Error())
		}
		return &http1.Response{Status: 200, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}, Body: b}
	case r.Method != "PUT" && r.Method != "DELETE":
		return http1.Text(405, "a change is a PUT or a DELETE of a key")
	}
	value := strings.TrimSpace(string(r.Body))
	if r.Method == "DELETE" {
		value = ""
	} else if err := x.check(key, value); err != nil {
		return http1.Text(400, err.Error())
	}
	err := x.store.Set(key, value)
	not := (*store.NotLeaderError)(nil)
	switch {
	case errors.As(err, &not) && not.Operations != "":
		p := http1.Text(307, err.Error())
		p.Header.Set("Location", "http://"+not.Operations+r.Path)
		return p
	case err != nil:
		return http1.Text(503, err.Error())
	}
	return http1.Text(200, "done")
}

// check returns what is wrong with a key or its value.
func (x *operations) check(key, value string) error {
	switch name, isDrain := strings.CutPrefix(key, drainKey); {
	case isDrain && !http1.IsName(name):
		return errors.New("drain/ is to be followed by a gatherer's name")
	case isDrain && value != "on":
		return errors.New("a drain mark is on, or deleted")
	case isDrain:
		return nil
	case key != indicesKey:
		return fmt.Errorf("the keys are %sNAME and %s", drainKey, indicesKey)
	case !gjson.Valid(value):
		return errors.New("the value is not JSON")
	}
	_, err := parseIndices(gjson.Parse(value), x.daemon.settings.Load())
	return err
}
