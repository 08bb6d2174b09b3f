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

// Request has the properties of a request that routes are matched against.
type Request struct {
	Front  string
	Method string
	Index  string // for the platform's front, the class
	Client netip.Addr
	Header func(name string) string // returns the value of a header; nil if there are no headers
}

// Match says which requests a route matches. An empty field matches all.
type Match struct {
	Front   string
	Methods []string
	Index   string // a name, or a prefix followed by *
	Clients []netip.Prefix
	Header  string // name of a header
	Value   string // value that the header must have
}

// Route has the limits of the requests that it matches.
type Route struct {
	Name        string
	Class       string // class of the requests that it matches; empty for any
	Match       Match
	Limits      Limits
	Schedule    AttemptSchedule
	LineNumber  int            // line of the route in the configuration file
	LineNumbers map[string]int // lines of its fields
}

// LineNumberOf returns the line of a field in the configuration file, or of the object that the field is in, or of the
// route, whichever is known first.
func (r *Route) LineNumberOf(field string) int {
	object, _, _ := strings.Cut(field, ".")
	return cmp.Or(r.LineNumbers[field], r.LineNumbers[object], r.LineNumber)
}

// specificity orders routes by how specific their match is: by index first, then by class, header, client group, method and
// front, as each of these says more about a request than the next. Higher is more specific.
type specificity struct{ index, class, header, clients, methods, front int }

// specificity returns the specificity of a route for a client: of its client groups, only those that contain the client
// count. An invalid address stands for any client.
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

// pattern returns the index pattern; a single * counts as none.
func (m *Match) pattern() string {
	if m.Index == "*" {
		return ""
	}
	return m.Index
}

// matchesExceptIndex reports whether a request matches in all but the index.
func (m *Match) matchesExceptIndex(r *Request) bool {
	if m.Front != "" && m.Front != r.Front || len(m.Methods) > 0 && !slices.Contains(m.Methods, r.Method) {
		return false
	}
	if m.Header != "" && (r.Header == nil || r.Header(m.Header) != m.Value) {
		return false
	}
	return len(m.Clients) == 0 || slices.ContainsFunc(m.Clients, func(p netip.Prefix) bool { return p.Contains(r.Client) })
}

// Table finds the route of a request. It is a trie over index patterns, whose nodes have the routes of a pattern, the most
// specific first. If these are many, they are looked up by client group in a table of prefixes. A Table is immutable.
type Table struct {
	root   node
	routes []*Route
}

// node is a node of the trie.
type node struct {
	next   map[byte]*node
	exact  *routeGroup // routes of the pattern that ends here without a *
	prefix *routeGroup // routes of the pattern that ends here with a *
}

// routeGroup has the routes of one pattern.
type routeGroup struct {
	routes   []*Route           // the most specific first
	byClient *bart.Table[[]int] // indices in routes by client group; nil if there are few routes
}

// minRoutesForClientTable is the number of routes of one pattern from which on they are looked up by client group.
const minRoutesForClientTable = 8

// ConflictError reports two routes that match the same requests and are equally specific for them.
type ConflictError struct{ First, Second *Route }

func (c ConflictError) Error() string {
	return fmt.Sprintf("routes %s and %s match the same requests, and neither is more exact", c.First.Name, c.Second.Name)
}

// NewTable returns a table of the routes, and the conflicts between them.
func NewTable(routes []*Route) (*Table, []ConflictError) {
	t := &Table{routes: routes}
	groups := map[string]*routeGroup{} // by pattern
	for _, r := range routes {
		g := groups[r.Match.pattern()]
		if g == nil {
			g = &routeGroup{}
			groups[r.Match.pattern()] = g
			t.insert(r.Match.pattern(), g)
		}
		g.routes = append(g.routes, r)
	}
	var conflicts []ConflictError
	for _, g := range groups {
		conflicts = append(conflicts, g.conflicts()...)
		slices.SortStableFunc(g.routes, func(x, y *Route) int {
			return -x.specificity(netip.Addr{}).compare(y.specificity(netip.Addr{}))
		})
		if len(g.routes) >= minRoutesForClientTable {
			g.index()
		}
	}
	slices.SortFunc(conflicts, func(a, b ConflictError) int { return cmp.Compare(a.Second.LineNumber, b.Second.LineNumber) })
	return t, conflicts
}

// insert adds the routes of a pattern to the trie.
func (t *Table) insert(pattern string, g *routeGroup) {
	literal, isPrefix := strings.CutSuffix(pattern, "*")
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
	if isPrefix || pattern == "" {
		n.prefix = g
	} else {
		n.exact = g
	}
}

// conflicts returns the pairs of routes of the group that are equally specific for some request.
func (g *routeGroup) conflicts() (list []ConflictError) {
	equals := map[string][]*Route{} // routes that are equally specific except for client groups
	for _, r := range g.routes {
		m := &r.Match
		key := fmt.Sprint(m.Header, "\x00", m.Header != "", len(m.Methods) > 0, m.Front != "", r.Class)
		for _, o := range equals[key] {
			if overlap(&o.Match, m) {
				list = append(list, ConflictError{o, r})
				break
			}
		}
		equals[key] = append(equals[key], r)
	}
	return list
}

// overlap reports whether some request matches both of two matches of the same pattern, which are equally specific except
// for client groups. The longer prefix of two client groups is more specific, so that only equal prefixes count.
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
func (g *routeGroup) index() {
	g.byClient = &bart.Table[[]int]{}
	all := []netip.Prefix{netip.MustParsePrefix("0.0.0.0/0"), netip.MustParsePrefix("::/0")}
	for i, r := range g.routes {
		nets := r.Match.Clients
		if len(nets) == 0 {
			nets = all
		}
		for _, p := range nets {
			indices, _ := g.byClient.Get(p)
			g.byClient.Insert(p, append(slices.Clip(indices), i))
		}
	}
}

// find returns the most specific route of the group that matches a request, nil for none.
func (g *routeGroup) find(r *Request, class string) (best *Route) {
	var highest specificity
	try := func(x *Route) {
		if x.Class != "" && x.Class != class || !x.Match.matchesExceptIndex(r) {
			return
		}
		if s := x.specificity(r.Client); best == nil || s.compare(highest) > 0 {
			best, highest = x, s
		}
	}
	if g.byClient != nil && r.Client.IsValid() {
		for _, indices := range g.byClient.Supernets(netip.PrefixFrom(r.Client, r.Client.BitLen())) {
			for _, i := range indices {
				try(g.routes[i])
			}
		}
		return best
	}
	for _, x := range g.routes {
		try(x)
	}
	return best
}

// Find returns the most specific route that matches a request of a class, nil for none.
func (t *Table) Find(r *Request, class string) *Route {
	var prefixes [16]*routeGroup // groups of the prefix patterns that match, the longest last
	n, depth := &t.root, 0
	push := func(g *routeGroup) {
		if g != nil {
			if depth == len(prefixes) { // drop the shortest pattern, which is the least specific
				copy(prefixes[:], prefixes[1:])
				depth--
			}
			prefixes[depth] = g
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
		if x := prefixes[depth].find(r, class); x != nil {
			return x
		}
	}
	return nil
}

// Routes returns all routes in the order passed to NewTable.
func (t *Table) Routes() []*Route { return t.routes }
