package limits

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gaissmai/bart"
)

func sprint(a ...any) string { return fmt.Sprint(a...) }

// Request is what routes are matched against.
type Request struct {
	Front  string
	Method string
	Index  string // or the platform's class
	Client netip.Addr
	Header func(name string) string // nil for none
}

// Match says which requests a route matches. Empty fields match all.
type Match struct {
	Front   string
	Methods []string
	Index   string // with at most one *, at its end
	Clients []netip.Prefix
	Header  string // its name
	Value   string // the value that it must have
}

// Route is a rule for the requests that it matches.
type Route struct {
	Name        string
	Class       string // empty for any
	Match       Match
	Limits      Limits
	Plan        Plan
	LineNumber  int            // where it stands, for operators
	LineNumbers map[string]int // and each of its fields
}

// LineNumberOf is the line of a field in the file, or of the object that it is in, or of the route.
func (r *Route) LineNumberOf(field string) int {
	object, _, _ := strings.Cut(field, ".")
	return cmp.Or(r.LineNumbers[field], r.LineNumbers[object], r.LineNumber)
}

// specificity orders routes: index before class, header, client group, method and front, as each of these says more of
// the request than the next.
type specificity struct{ index, class, header, clients, methods, front int }

func (r *Route) specificity(client netip.Addr) specificity {
	x, m := specificity{}, &r.Match
	if r.Class != "" {
		x.class = 1
	}
	if p := m.pattern(); p != "" {
		x.index = 2 * (len(strings.TrimSuffix(p, "*")) + 1)
		if !strings.HasSuffix(p, "*") {
			x.index++
		}
	}
	if m.Header != "" {
		x.header = 1
	}
	for _, p := range m.Clients {
		if !client.IsValid() || p.Contains(client) {
			x.clients = max(x.clients, p.Bits()+1)
		}
	}
	if len(m.Methods) > 0 {
		x.methods = 1
	}
	if m.Front != "" {
		x.front = 1
	}
	return x
}

func (a specificity) compare(b specificity) int {
	return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.class, b.class), cmp.Compare(a.header, b.header), cmp.Compare(a.clients, b.clients),
		cmp.Compare(a.methods, b.methods), cmp.Compare(a.front, b.front))
}

// pattern is the index pattern; * alone counts as none.
func (m *Match) pattern() string {
	if m.Index == "*" {
		return ""
	}
	return m.Index
}

// takes reports whether all but the index matches.
func (m *Match) takes(r *Request) bool {
	if m.Front != "" && m.Front != r.Front || len(m.Methods) > 0 && !slices.Contains(m.Methods, r.Method) {
		return false
	}
	if m.Header != "" && (r.Header == nil || r.Header(m.Header) != m.Value) {
		return false
	}
	return len(m.Clients) == 0 || slices.ContainsFunc(m.Clients, func(p netip.Prefix) bool { return p.Contains(r.Client) })
}

// Table finds the route of a request: a trie over index patterns, whose nodes hold the routes of a pattern, the most
// specific first, and where these are many a table of prefixes of client groups. It is immutable.
type Table struct {
	root   node
	routes []*Route
}

// node is a node of the trie.
type node struct {
	next   map[byte]*node
	exact  *routeGroup // of patterns that end here
	prefix *routeGroup // of patterns that go on by *
}

// routeGroup is the routes of one pattern.
type routeGroup struct {
	routes []*Route           // by specificity
	byNet  *bart.Table[[]int] // indices of routes by client group, where there are many
}

// byNetFrom is the number of routes of one pattern from which they are looked up by client group.
const byNetFrom = 8

// ConflictError is two routes of which neither is more specific for a request that both match.
type ConflictError struct{ First, Second *Route }

func (c ConflictError) Error() string {
	return fmt.Sprintf("routes %s and %s match the same requests, and neither is more exact", c.First.Name, c.Second.Name)
}

// NewTable returns a table of the routes, and the conflicts between them.
func NewTable(routes []*Route) (*Table, []ConflictError) {
	t := &Table{routes: routes}
	bunches := map[string]*routeGroup{}
	for _, r := range routes {
		b := bunches[r.Match.pattern()]
		if b == nil {
			b = &routeGroup{}
			bunches[r.Match.pattern()] = b
			t.insert(r.Match.pattern(), b)
		}
		b.routes = append(b.routes, r)
	}
	var conflicts []ConflictError
	for _, b := range bunches {
		conflicts = append(conflicts, b.conflicts()...)
		slices.SortStableFunc(b.routes, func(x, y *Route) int {
			return -x.specificity(netip.Addr{}).compare(y.specificity(netip.Addr{}))
		})
		if len(b.routes) >= byNetFrom {
			b.index()
		}
	}
	slices.SortFunc(conflicts, func(a, b ConflictError) int { return cmp.Compare(a.Second.LineNumber, b.Second.LineNumber) })
	return t, conflicts
}

// insert adds the routes of a pattern to the trie.
func (t *Table) insert(pattern string, b *routeGroup) {
	literal, open := strings.CutSuffix(pattern, "*")
	n := &t.root
	for i := range len(literal) {
		if n.next == nil {
			n.next = map[byte]*node{}
		}
		if n.next[literal[i]] == nil {
			n.next[literal[i]] = &node{}
		}
		n = n.next[literal[i]]
	}
	if open || pattern == "" {
		n.prefix = b
	} else {
		n.exact = b
	}
}

// conflicts finds the pairs of routes of one pattern that some request matches equally.
func (b *routeGroup) conflicts() (list []ConflictError) {
	groups := map[string][]*Route{} // of routes equally specific in all but client groups
	for _, r := range b.routes {
		m := &r.Match
		key := fmt.Sprint(m.Header, "\x00", m.Header != "", len(m.Methods) > 0, m.Front != "", r.Class)
		for _, o := range groups[key] {
			if overlap(&o.Match, m) {
				list = append(list, ConflictError{o, r})
				break
			}
		}
		groups[key] = append(groups[key], r)
	}
	return list
}

// overlap reports whether two matches of one pattern and one specificity have a request in common. Of client groups the
// longer prefix is more specific, so that only equal ones conflict.
func overlap(a, b *Match) bool {
	if a.Front != b.Front || a.Value != b.Value {
		return false
	}
	if len(a.Methods) > 0 && !slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) }) {
		return false
	}
	if len(a.Clients) == 0 || len(b.Clients) == 0 {
		return len(a.Clients) == len(b.Clients)
	}
	return slices.ContainsFunc(a.Clients, func(p netip.Prefix) bool { return slices.Contains(b.Clients, p) })
}

// index builds the table by client group.
func (b *routeGroup) index() {
	b.byNet = &bart.Table[[]int]{}
	all := []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}
	for i, r := range b.routes {
		nets := r.Match.Clients
		if len(nets) == 0 {
			nets = all
		}
		for _, p := range nets {
			indices, _ := b.byNet.Get(p)
			b.byNet.Insert(p, append(slices.Clip(indices), i))
		}
	}
}

// find returns the most specific route of the group that matches a request, nil for none.
func (b *routeGroup) find(r *Request, class string) (best *Route) {
	var at specificity
	try := func(x *Route) {
		if x.Class != "" && x.Class != class || !x.Match.takes(r) {
			return
		}
		if e := x.specificity(r.Client); best == nil || e.compare(at) > 0 {
			best, at = x, e
		}
	}
	if b.byNet != nil && r.Client.IsValid() {
		for _, indices := range b.byNet.Supernets(netip.PrefixFrom(r.Client, r.Client.BitLen())) {
			for _, i := range indices {
				try(b.routes[i])
			}
		}
		return best
	}
	for _, x := range b.routes {
		try(x)
	}
	return best
}

// Find returns the most specific route that matches a request of a class, nil for none.
func (t *Table) Find(r *Request, class string) *Route {
	var open [16]*routeGroup // prefix patterns that match, the longest last
	n, depth := &t.root, 0
	push := func(b *routeGroup) {
		if b != nil {
			if depth == len(open) { // the shortest is the least specific
				copy(open[:], open[1:])
				depth--
			}
			open[depth] = b
			depth++
		}
	}
	push(n.prefix)
	for i := 0; i < len(r.Index); i++ {
		if n = n.next[r.Index[i]]; n == nil {
			break
		}
		push(n.prefix)
	}
	if n != nil && n.exact != nil {
		if x := n.exact.find(r, class); x != nil {
			return x
		}
	}
	for depth--; depth >= 0; depth-- {
		if x := open[depth].find(r, class); x != nil {
			return x
		}
	}
	return nil
}

// Routes returns all routes in the given order.
func (t *Table) Routes() []*Route { return t.routes }
