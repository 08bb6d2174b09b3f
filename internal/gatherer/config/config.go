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

// Config is the content of an installation's file.
type Config struct {
	Limits Limits
	Level  *slog.Level // of the log, nil if the file does not set it

	OpenSearch *OpenSearch // nil for off
	Operations *Operations // nil for off
}

// Limits are the routes and the retry budget of all of them together.
type Limits struct {
	Routes  []*limits.Route // in the order of the file; the table finds the most specific
	Table   *limits.Table
	Retries limits.RetryBudget // of all routes together
}

// Bounds of a file's lists and values.
const (
	maxRoutes  = 10000
	maxClients = 1000
	maxMethods = 16
	maxTime    = time.Hour
)

// Load reads a file. Limits must stay within the operator's classes. Without the file the result is nil.
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

// Parse parses the text of a file. The error is of type FieldErrors, with all errors.
func Parse(file string, text []byte, classes []limits.Class) (*Config, error) {
	top, r := read(file, text)
	c := &Config{}
	if len(r.errors) == 0 {
		members := top.object("version", "limits", "logging", "fronts", "operations")
		if v := members["version"]; !v.exists() {
			top.addError("lacks version: 1")
		} else {
			v.integer(1, 1, 1)
		}
		c.readLimits(members["limits"], classes)
		c.OpenSearch = readOpenSearch(members["fronts"].object("opensearch")["opensearch"], classes)
		c.Operations = readOperations(members["operations"])
		if at := members["logging"].object("level")["level"]; at.exists() {
			level, err := logging.ParseLevel(at.oneOf("info", "debug", "info", "warn", "error"))
			if err != nil {
				at.addError("%v", err)
			}
			c.Level = &level
		}
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return c, nil
}

// readLimits reads the routes.
func (c *Config) readLimits(p value, classes []limits.Class) {
	members := p.object("routes", "repeats")
	c.Limits.Retries = readRetryBudget(members["repeats"])
	names := map[string]bool{}
	places := map[*limits.Route]value{}
	for i, at := range members["routes"].list(maxRoutes) {
		route := readRoute(at, i, classes)
		if names[route.Name] {
			at.addError("the name %q stands twice", route.Name)
		}
		names[route.Name] = true
		places[route] = at
		c.Limits.Routes = append(c.Limits.Routes, route)
	}
	table, conflicts := limits.NewTable(c.Limits.Routes)
	for _, x := range conflicts {
		places[x.Second].addError("matches the same requests as route %q of line %d, and neither is more exact: say which by its match", x.First.Name, x.First.LineNumber)
	}
	c.Limits.Table = table
}

// readRetryBudget reads a retry budget.
func readRetryBudget(p value) limits.RetryBudget {
	if !p.exists() {
		return limits.RetryBudget{}
	}
	before := len(p.reader.errors)
	m := p.object("share", "free", "span")
	if len(p.reader.errors) > before {
		return limits.RetryBudget{}
	}
	r := limits.RetryBudget{Ratio: m["share"].float(0, 10), Minimum: m["free"].float(0, 1e6), Span: m["span"].duration()}
	if r.Span == 0 && !m["span"].exists() {
		p.addError("lacks span, the time over which repeats are counted")
	}
	return r
}

// readRoute reads the i-th route.
func readRoute(p value, i int, classes []limits.Class) *limits.Route {
	m := p.object("name", "match", "class", "wanted", "give_up", "attempts", "attempt", "least", "whole", "body", "answer", "depth",
		"priority", "concurrency", "rate", "repeats")
	r := &limits.Route{Name: m["name"].text(), LineNumber: p.lineNumber(), Class: m["class"].text()}
	if r.Name == "" {
		r.Name = fmt.Sprintf("route %d", i+1)
	}
	r.LineNumbers = map[string]int{}
	for name, at := range m {
		r.LineNumbers[name] = at.lineNumber()
		for inner, x := range at.objectQuiet() {
			r.LineNumbers[name+"."+inner] = x.lineNumber()
		}
	}
	of := classesOf(r.Class, m["class"], classes)
	r.Match = readMatch(m["match"])
	l := &r.Limits
	l.LatencyTarget, l.Timeout = m["wanted"].duration(), m["give_up"].duration()
	l.Attempts = m["attempts"].integer(0, 1, 100)
	l.MinWeight, l.CompleteOnly = m["least"].float(0.01, 1), m["whole"].boolean(false)
	l.MaxBody, l.MaxAnswer = m["body"].size(0, 1, 1<<30), m["answer"].size(0, 1, 1<<30)
	l.MaxDepth, l.Priority = m["depth"].integer(0, 1, 10000), m["priority"].integer(0, 0, 9)
	k := m["concurrency"].object("most", "floor", "queue", "wait")
	l.Concurrency = limits.Concurrency{Max: k["most"].integer(0, 1, 1e6), Floor: k["floor"].integer(0, 1, 1e6), Queue: k["queue"].integer(0, 0, 1e6),
		Wait: k["wait"].duration()}
	q := m["rate"].object("per_second", "burst")
	if m["rate"].exists() {
		l.Rate = limits.Rate{PerSecond: q["per_second"].float(0, 1e9), Burst: q["burst"].integer(1, 1, 1e6)}
	}
	l.Retries = readRetryBudget(m["repeats"])
	a := m["attempt"].object("timeout", "wait", "jitter")
	r.Schedule = limits.AttemptSchedule{Attempts: l.Attempts, Timeout: a["timeout"].duration(), Backoff: a["wait"].duration(), Jitter: a["jitter"].float(0, 1)}
	checkRoute(p, m, r, of)
	return r
}

// classesOf returns the classes that a route is for: all, or the one that it names at that position.
func classesOf(class string, at value, classes []limits.Class) []limits.Class {
	if class == "" {
		return classes
	}
	i := slices.IndexFunc(classes, func(c limits.Class) bool { return c.Name == class })
	if i >= 0 {
		return classes[i : i+1]
	}
	var names []string
	for _, c := range classes {
		names = append(names, c.Name)
	}
	at.addError("%q is not a class of the settings; wants %s", class, strings.Join(names, ", "))
	return nil
}

// checkRoute reports the rules of its classes that a route violates, each once, at the member that violates it.
func checkRoute(p value, m map[string]value, r *limits.Route, classes []limits.Class) {
	reported := map[string]bool{}
	for _, c := range classes {
		for _, b := range append(r.Limits.Check(c), r.Schedule.Check(c, r.Limits.Timeout)...) {
			at, first := p, strings.SplitN(b.Field, ".", 2)
			if x, ok := m[first[0]]; ok {
				at = x
				if inner, ok := x.objectQuiet()[second(first)]; ok {
					at = inner
				}
			}
			if rule := b.Rule; !reported[b.Field+rule] {
				reported[b.Field+rule] = true
				at.path = join(p.path, b.Field)
				at.addError("%s", rule)
			}
		}
	}
}

// second is the second of two strings, empty if there is only one.
func second(parts []string) string {
	if len(parts) > 1 {
		return parts[1]
	}
	return ""
}

// objectQuiet reads members that have been read before, without reporting their errors again.
func (p value) objectQuiet() map[string]value {
	n := len(p.reader.errors)
	m := map[string]value{}
	if p.exists() {
		m = p.object()
	}
	p.reader.errors = p.reader.errors[:n]
	return m
}

// readMatch reads which requests a route matches.
func readMatch(p value) (m limits.Match) {
	x := p.object("front", "methods", "index", "clients", "header", "value")
	m.Front = x["front"].oneOf("", "platform", "opensearch")
	for _, v := range x["methods"].list(maxMethods) {
		m.Methods = append(m.Methods, v.oneOf("GET", "GET", "POST", "PUT", "HEAD", "DELETE"))
	}
	m.Index = x["index"].text()
	if i := strings.IndexByte(m.Index, '*'); i >= 0 && i < len(m.Index)-1 {
		x["index"].addError("has a * before its end: %.60q", m.Index)
	}
	for _, v := range x["clients"].list(maxClients) {
		s := v.text()
		net, err := netip.ParsePrefix(s)
		if err != nil {
			addr, wrong := netip.ParseAddr(s)
			if wrong != nil {
				v.addError("%.60q is neither an address nor a range, as 10.1.0.0/16", s)
				continue
			}
			net = netip.PrefixFrom(addr, addr.BitLen())
		}
		if net != net.Masked() {
			v.addError("%s has bits behind its length; wants %s", net, net.Masked())
		}
		m.Clients = append(m.Clients, net.Masked())
	}
	m.Header, m.Value = x["header"].text(), x["value"].text()
	if (m.Header == "") != (m.Value == "") {
		p.addError("wants both header and value")
	}
	return m
}
