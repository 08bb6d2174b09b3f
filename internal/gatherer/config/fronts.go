package config

import (
	"net"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
)

// OpenSearch is the configuration of the OpenSearch-style front, which may have its own file instead.
type OpenSearch struct {
	Listen  string
	Indices map[string]string // index to class
	Stores  string            // protocol of the lot stores: frames or opensearch
	Phases  string            // auto, one or two
	Ties    string            // id or none
	KeyFile string            // of points in time
}

// Operations are the balancers' endpoints and the store, which may have their own file instead.
type Operations struct {
	AgentCheck, Health string
	Dir                string // of the store, empty for none
	Nodes              []Node
}

// Node is a member of the store.
type Node struct{ Name, Raft, Operations string }

// Bounds of the file beside limits.
const (
	maxIndices = 1000
	maxMembers = 9 // of the store: more make changes slower and nothing safer
)

// address reads an address to listen on.
func (p value) address() string {
	s := p.text()
	if _, _, err := net.SplitHostPort(s); err != nil {
		p.addError("%.60q is no address, as 127.0.0.1:9200", s)
	}
	return s
}

// readOpenSearch reads the configuration of the OpenSearch-style front.
func readOpenSearch(p value, classes []limits.Class) *OpenSearch {
	if !p.exists() {
		return nil
	}
	m := p.object("listen", "indices", "stores", "phases", "ties", "pit")
	o := &OpenSearch{Indices: map[string]string{}, Stores: m["stores"].oneOf("frames", "frames", "opensearch"),
		Phases: m["phases"].oneOf("auto", "auto", "one", "two"), Ties: m["ties"].oneOf("id", "id", "none"), KeyFile: m["pit"].object("keys")["keys"].text()}
	if m["listen"].exists() {
		o.Listen = m["listen"].address()
	} else {
		p.addError("lacks listen")
	}
	if o.Phases == "two" && o.Stores == "frames" {
		m["phases"].addError("two wants stores: opensearch, as parts in frames cannot be told apart")
	}
	seen := map[string]string{}
	indices := m["indices"].object()
	if len(indices) == 0 {
		p.addError("lacks indices, each with its class")
	} else if len(indices) > maxIndices {
		m["indices"].addError("has %d entries, at most %d are allowed", len(indices), maxIndices)
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
			at.addError("%.60q is not a class of the settings", class)
		case seen[class] != "":
			at.addError("class %s is index %q already", class, seen[class])
		}
		seen[class], o.Indices[name] = name, class
	}
	return o
}

// readOperations reads the endpoints and the store.
func readOperations(p value) *Operations {
	if !p.exists() {
		return nil
	}
	m := p.object("agent_check", "health", "store")
	o := &Operations{}
	for _, x := range []struct {
		name string
		to   *string
	}{{"agent_check", &o.AgentCheck}, {"health", &o.Health}} {
		if !m[x.name].exists() {
			p.addError("lacks %s", x.name)
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
	if m["store"].exists() && (o.Dir == "" || len(o.Nodes) == 0) {
		m["store"].addError("wants both dir and nodes")
	}
	return o
}
