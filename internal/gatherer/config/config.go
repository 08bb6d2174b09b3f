package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/logging"
)

// Config is what an installation's file says.
type Config struct {
	Limits Limits
	Level  *slog.Level // of the log, nil where the file does not say

	OpenSearch *OpenSearch // nil for off
	Operations *Operations // nil for off
}

// Limits are the routes and what bounds all of them together.
type Limits struct {
	Routes  []*limits.Route // in the file's order; the table finds the most exact
	Table   *limits.Table
	Repeats limits.RetryBudget // of all routes together
}

// Bounds of a file's lists and values.
const (
	maxRoutes  = 10000
	maxClients = 1000
	maxMethods = 16
	maxTime    = time.Hour
)

// Load reads a file; classes are the operator's, which limits must stay within. Without the file the result is nil.
func Load(path string, classes []limits.Class) (*Config, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return Parse(path, text, classes)
}

// Parse reads a text. The error is of type Faults, and has all that is wrong.
func Parse(file string, text []byte, classes []limits.Class) (*Config, error) {
	top, r := read(file, text)
	c := &Config{}
	if len(r.faults) == 0 {
		members := top.object("version", "limits", "logging", "fronts", "operations")
		if v := members["version"]; !v.there() {
			top.fault("lacks version: 1")
		} else {
			v.whole(1, 1, 1)
		}
		c.limits(members["limits"], classes)
		c.OpenSearch = openSearch(members["fronts"].object("opensearch")["opensearch"], classes)
		c.Operations = operations(members["operations"])
		if at := members["logging"].object("level")["level"]; at.there() {
			level, err := logging.ParseLevel(at.of("info", "debug", "info", "warn", "error"))
			if err != nil {
				at.fault("%v", err)
			}
			c.Level = &level
		}
	}
	if err := r.done(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) limits(p place, classes []limits.Class) {
	members := p.object("routes", "repeats")
	c.Limits.Repeats = repeats(members["repeats"])
	names := map[string]bool{}
	places := map[*limits.Route]place{}
	for i, at := range members["routes"].list(maxRoutes) {
		route := readRoute(at, i, classes)
		if names[route.Name] {
			at.fault("the name %q stands twice", route.Name)
		}
		names[route.Name] = true
		places[route] = at
		c.Limits.Routes = append(c.Limits.Routes, route)
	}
	table, conflicts := limits.NewTable(c.Limits.Routes)
	for _, x := range conflicts {
		places[x.Second].fault("matches the same requests as route %q of line %d, and neither is more exact: say which by its match", x.First.Name, x.First.LineNumber)
	}
	c.Limits.Table = table
}

func repeats(p place) limits.RetryBudget {
	if !p.there() {
		return limits.RetryBudget{}
	}
	before := len(p.r.faults)
	m := p.object("share", "free", "span")
	if len(p.r.faults) > before {
		return limits.RetryBudget{}
	}
	r := limits.RetryBudget{Ratio: m["share"].float(0, 0, 10), Minimum: m["free"].float(0, 0, 1e6), Span: m["span"].time(0, maxTime)}
	if r.Span == 0 && !m["span"].there() {
		p.fault("lacks span, the time over which repeats are counted")
	}
	return r
}

func readRoute(p place, i int, classes []limits.Class) *limits.Route {
	m := p.object("name", "match", "class", "wanted", "give_up", "attempts", "attempt", "least", "whole", "body", "answer", "depth",
		"priority", "concurrency", "rate", "repeats")
	r := &limits.Route{Name: m["name"].text(), LineNumber: p.line(), Class: m["class"].text()}
	if r.Name == "" {
		r.Name = fmt.Sprintf("route %d", i+1)
	}
	r.LineNumbers = map[string]int{}
	for name, at := range m {
		r.LineNumbers[name] = at.line()
		for inner, x := range at.objectQuiet() {
			r.LineNumbers[name+"."+inner] = x.line()
		}
	}
	of := classes
	if r.Class != "" {
		at := slices.IndexFunc(classes, func(c limits.Class) bool { return c.Name == r.Class })
		if at < 0 {
			var names []string
			for _, c := range classes {
				names = append(names, c.Name)
			}
			m["class"].fault("%q is not a class of the settings; wants %s", r.Class, strings.Join(names, ", "))
			of = nil
		} else {
			of = classes[at : at+1]
		}
	}
	r.Match = readMatch(m["match"])
	l := &r.Limits
	l.LatencyTarget, l.Timeout = m["wanted"].time(0, maxTime), m["give_up"].time(0, maxTime)
	l.Attempts = m["attempts"].whole(0, 1, 100)
	l.MinWeight, l.CompleteOnly = m["least"].float(0, 0.01, 1), m["whole"].flag(false)
	l.MaxBody, l.MaxAnswer = m["body"].size(0, 1, 1<<30), m["answer"].size(0, 1, 1<<30)
	l.MaxDepth, l.Priority = m["depth"].whole(0, 1, 10000), m["priority"].whole(0, 0, 9)
	k := m["concurrency"].object("most", "floor", "queue", "wait")
	l.Concurrency = limits.Concurrency{Max: k["most"].whole(0, 1, 1e6), Floor: k["floor"].whole(0, 1, 1e6), Queue: k["queue"].whole(0, 0, 1e6),
		Wait: k["wait"].time(0, maxTime)}
	q := m["rate"].object("per_second", "burst")
	if m["rate"].there() {
		l.Rate = limits.Rate{PerSecond: q["per_second"].float(0, 0, 1e9), Burst: q["burst"].whole(1, 1, 1e6)}
	}
	l.Retries = repeats(m["repeats"])
	a := m["attempt"].object("timeout", "wait", "jitter")
	r.Plan = limits.Plan{Attempts: l.Attempts, Timeout: a["timeout"].time(0, maxTime), Wait: a["wait"].time(0, maxTime), Jitter: a["jitter"].float(0, 0, 1)}
	told := map[string]bool{}
	for _, c := range of {
		for _, b := range append(l.Check(c), r.Plan.Check(c, l.Timeout)...) {
			at, first := p, strings.SplitN(b.Field, ".", 2)
			if x, ok := m[first[0]]; ok {
				at = x
				if inner, ok := x.objectQuiet()[second(first)]; ok {
					at = inner
				}
			}
			if rule := b.Rule; !told[b.Field+rule] {
				told[b.Field+rule] = true
				at.path = join(p.path, b.Field)
				at.fault("%s", rule)
			}
		}
	}
	return r
}

func second(parts []string) string {
	if len(parts) > 1 {
		return parts[1]
	}
	return ""
}

// objectQuiet reads members that have been read before, without telling their faults again.
func (p place) objectQuiet() map[string]place {
	n := len(p.r.faults)
	m := map[string]place{}
	if p.there() {
		m = p.object()
	}
	p.r.faults = p.r.faults[:n]
	return m
}

func readMatch(p place) (m limits.Match) {
	x := p.object("front", "methods", "index", "clients", "header", "value")
	m.Front = x["front"].of("", "platform", "opensearch")
	for _, v := range x["methods"].list(maxMethods) {
		m.Methods = append(m.Methods, v.of("GET", "GET", "POST", "PUT", "HEAD", "DELETE"))
	}
	m.Index = x["index"].text()
	if i := strings.IndexByte(m.Index, '*'); i >= 0 && i < len(m.Index)-1 {
		x["index"].fault("has a * before its end: %.60q", m.Index)
	}
	for _, v := range x["clients"].list(maxClients) {
		s := v.text()
		net, err := netip.ParsePrefix(s)
		if err != nil {
			addr, wrong := netip.ParseAddr(s)
			if wrong != nil {
				v.fault("%.60q is neither an address nor a range, as 10.1.0.0/16", s)
				continue
			}
			net = netip.PrefixFrom(addr, addr.BitLen())
		}
		if net != net.Masked() {
			v.fault("%s has bits behind its length; wants %s", net, net.Masked())
		}
		m.Clients = append(m.Clients, net.Masked())
	}
	m.Header, m.Value = x["header"].text(), x["value"].text()
	if (m.Header == "") != (m.Value == "") {
		p.fault("wants both header and value")
	}
	return m
}
