package config

import (
	"net"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
)

// OpenSearch is the second front, as its own file has it too.
type OpenSearch struct {
	Listen  string
	Indices map[string]string // index to class
	Stores  string            // frames or opensearch: what lot stores speak
	Phases  string            // auto, one or two
	Ties    string            // id or none
	KeyFile string            // of points in time
}

// Operations are the balancers' endpoints and the store, as their own file has them too.
type Operations struct {
	AgentCheck, Health string
	Dir                string // of the store, empty for none
	Nodes              []Node
}

// Node is a member of the store.
type Node struct{ Name, Raft, Operations string }

// Bounds of what stands in the file beside limits.
const (
	maxIndices = 1000
	maxMembers = 9 // members of the store: more make each change slower and nothing safer
)

// address reads where something listens.
func (p place) address() string {
	s := p.text()
	if _, _, err := net.SplitHostPort(s); err != nil {
		p.fault("%.60q is no address, as 127.0.0.1:9200", s)
	}
	return s
}

func openSearch(p place, classes []limits.Class) *OpenSearch {
	if !p.there() {
		return nil
	}
	m := p.object("listen", "indices", "stores", "phases", "ties", "pit")
	o := &OpenSearch{Indices: map[string]string{}, Stores: m["stores"].of("frames", "frames", "opensearch"),
		Phases: m["phases"].of("auto", "auto", "one", "two"), Ties: m["ties"].of("id", "id", "none"), KeyFile: m["pit"].object("keys")["keys"].text()}
	if m["listen"].there() {
		o.Listen = m["listen"].address()
	} else {
		p.fault("lacks listen")
	}
	if o.Phases == "two" && o.Stores == "frames" {
		m["phases"].fault("two wants stores: opensearch, as parts in frames cannot be told apart")
	}
	seen := map[string]string{}
	indices := m["indices"].object()
	if len(indices) == 0 {
		p.fault("lacks indices, each with its class")
	} else if len(indices) > maxIndices {
		m["indices"].fault("has %d entries, at most %d are allowed", len(indices), maxIndices)
		return o
	}
	names := make([]string, 0, len(indices))
	for name := range indices {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		at := indices[name]
		class := at.text()
		switch {
		case !slices.ContainsFunc(classes, func(c limits.Class) bool { return c.Name == class }):
			at.fault("%.60q is not a class of the settings", class)
		case seen[class] != "":
			at.fault("class %s is index %q already", class, seen[class])
		}
		seen[class], o.Indices[name] = name, class
	}
	return o
}

func operations(p place) *Operations {
	if !p.there() {
		return nil
	}
	m := p.object("agent_check", "health", "store")
	o := &Operations{}
	for _, x := range []struct {
		name string
		to   *string
	}{{"agent_check", &o.AgentCheck}, {"health", &o.Health}} {
		if !m[x.name].there() {
			p.fault("lacks %s", x.name)
			continue
		}
		*x.to = m[x.name].address()
	}
	s := m["store"].object("dir", "nodes")
	o.Dir = s["dir"].text()
	for _, at := range s["nodes"].list(maxMembers) {
		n := at.object("name", "raft", "operations")
		o.Nodes = append(o.Nodes, Node{n["name"].text(), n["raft"].address(), n["operations"].address()})
	}
	if m["store"].there() && (o.Dir == "" || len(o.Nodes) == 0) {
		m["store"].fault("wants both dir and nodes")
	}
	return o
}
