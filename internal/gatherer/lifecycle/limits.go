package lifecycle

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/config"
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/internal/gatherer/store"
)

// LimitClasses converts the operator's classes for package limits.
func LimitClasses(set *settings.Settings) (list []limits.Class) {
	effects := map[decision.Effect]limits.Effect{decision.Idempotent: limits.Idempotent, decision.Deduplicated: limits.Deduplicated, decision.NotIdempotent: limits.NotIdempotent}
	for i, name := range set.Classes {
		if set.Class(name) != i {
			continue // kept for requests in flight only
		}
		k := set.Policy.Classes[i]
		attempts := k.MaxAttempts
		if attempts == 0 {
			attempts = set.Policy.MaxAttempts
		}
		list = append(list, limits.Class{Name: name, Effect: effects[k.Effect], LatencyTarget: k.LatencyTarget, Timeout: k.Deadline, Window: k.DeduplicationWindow,
			Attempts: attempts, Floor: k.PartialFraction})
	}
	return list
}

// narrowClasses returns the settings with a class for each route that narrows one, and the function from a route and the
// class of a request to the class in force.
func narrowClasses(set settings.Settings, routes []*limits.Route) (settings.Settings, func(*limits.Route, int) int) {
	type key struct {
		route string
		class int
	}
	numbers := map[key]int{}
	for i, name := range slices.Clone(set.Classes) {
		if set.Class(name) != i {
			continue
		}
		for _, r := range routes {
			if r.Class != "" && r.Class != name {
				continue
			}
			var n int
			set, n = set.Narrow(i, func(k *decision.Class) { narrow(k, r.Limits) })
			numbers[key{r.Name, i}] = n
		}
	}
	return set, func(r *limits.Route, class int) int {
		if n, ok := numbers[key{r.Name, class}]; ok {
			return n
		}
		return class
	}
}

// narrow applies the limits of a route to a class.
func narrow(k *decision.Class, l limits.Limits) {
	if l.LatencyTarget > 0 {
		k.LatencyTarget = min(k.LatencyTarget, l.LatencyTarget)
	}
	if l.Timeout > 0 {
		k.Deadline = min(k.Deadline, l.Timeout)
	}
	if l.Attempts > 0 {
		k.MaxAttempts = l.Attempts
	}
	if l.MinWeight > 0 {
		k.PartialFraction = max(k.PartialFraction, min(l.MinWeight, k.CompleteFraction))
	}
}

// loadLimits reads the file of limits, nil where there is none.
func loadLimits(path string, set *settings.Settings) (*config.Config, error) {
	if path == "" {
		return nil, nil
	}
	return config.Load(path, LimitClasses(set))
}

// LoadFile returns what the file of limits says of the OpenSearch-style front and of operations; nil without the file.
func LoadFile(path string, set *settings.Settings) (*FrontConfig, *OperationsConfig, error) {
	c, err := loadLimits(path, set)
	if err != nil || c == nil {
		return nil, nil, err
	}
	var front *FrontConfig
	if o := c.OpenSearch; o != nil {
		front = &FrontConfig{Listen: o.Listen, Indices: o.Indices, Stores: o.Stores == "opensearch", Ties: o.Ties == "id", KeyFile: o.KeyFile,
			Phases: map[string]search.Phases{"one": search.One, "two": search.Two}[o.Phases]}
		if err := front.loadKeys(); err != nil {
			return nil, nil, fmt.Errorf("%s: fronts.opensearch.pit.keys: %w", path, err)
		}
	}
	var operations *OperationsConfig
	if o := c.Operations; o != nil {
		operations = &OperationsConfig{AgentCheck: o.AgentCheck, Health: o.Health, Dir: o.Dir}
		for _, n := range o.Nodes {
			operations.Nodes = append(operations.Nodes, store.Node{Name: n.Name, Raft: n.Raft, Operations: n.Operations})
		}
	}
	return front, operations, nil
}

// applyLimits applies settings and limits: the settings first, as the limits name their classes. It returns the settings
// with the narrowed classes.
func (d *Daemon) applyLimits(set settings.Settings, c *config.Config) settings.Settings {
	l := gather.Limits{}
	if c != nil && c.Level != nil && d.config.Level != nil && d.config.Level.Level() != *c.Level {
		d.config.Level.Set(*c.Level)
		d.log.Warn("log level", "level", c.Level.String())
	}
	if c != nil {
		set, l.Class = narrowClasses(set, c.Limits.Routes)
		l.Table, l.Retries = c.Limits.Table, c.Limits.Retries
	}
	d.core.ChangeSettings(set)
	d.core.SetLimits(l)
	return set
}

// reloadLimits reads the file of limits again for new settings. An unusable file leaves the limits as they are, so far as
// the settings still allow them.
func (d *Daemon) reloadLimits(set *settings.Settings) *config.Config {
	c, err := loadLimits(d.config.LimitsFile, set)
	var faults config.FieldErrors
	switch {
	case errors.As(err, &faults):
		for _, f := range faults {
			d.log.Warn("reload limits stay", "reason", f.Error())
		}
		return d.limits
	case err != nil:
		d.log.Warn("reload limits stay", "reason", err)
		return d.limits
	}
	for _, line := range diffLimits(d.limits, c) {
		d.log.Info("reload limits", "change", line)
	}
	return c
}

// diffLimits returns what a reload changed, route by route.
func diffLimits(old, now *config.Config) (lines []string) {
	routes := func(c *config.Config) map[string]*limits.Route {
		m := map[string]*limits.Route{}
		if c != nil {
			for _, r := range c.Limits.Routes {
				m[r.Name] = r
			}
		}
		return m
	}
	a, b := routes(old), routes(now)
	for name, r := range b {
		old := limits.Limits{}
		if was := a[name]; was != nil {
			old = was.Limits
		} else {
			lines = append(lines, fmt.Sprintf("route %q is new", name))
		}
		before := old.Fields()
		for i, f := range r.Limits.Fields() {
			if f != before[i] {
				lines = append(lines, fmt.Sprintf("route %q: %s is %s, was %s", name, f[0], cmp.Or(f[1], "not set"), cmp.Or(before[i][1], "not set")))
			}
		}
	}
	for name := range a {
		if b[name] == nil {
			lines = append(lines, fmt.Sprintf("route %q is gone", name))
		}
	}
	slices.Sort(lines)
	return lines
}
