// Package config reads the installation's own file, in YAML with JSON as its subset: every fault is told with its line,
// its column, the rule that it breaks and what would be allowed, all faults of a file in one go.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Fault is what is wrong at one place of a file.
type Fault struct {
	File         string
	Line, Column int
	Field        string // its path, as limits.routes[2].attempts
	Rule         string
}

func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Rule)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Rule)
}

// Faults are all that is wrong with a file, by place.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Bounds of a file.
const (
	MaxFile  = 4 << 20
	maxDepth = 20
	maxNodes = 1 << 20 // anchors told apart: what an alias stands for counts each time
)

// place is a value of the file with where it stands.
type place struct {
	r    *reader
	node ast.Node // nil where it is absent
	path string
}

// reader collects the faults of one file.
type reader struct {
	file    string
	faults  Faults
	anchors map[string]ast.Node
	open    map[string]bool // anchors that are being looked into
	nodes   int
}

// read parses a text to its top place.
func read(file string, text []byte) (place, *reader) {
	r := &reader{file: file, anchors: map[string]ast.Node{}, open: map[string]bool{}}
	top := place{r: r}
	if len(text) > MaxFile {
		r.faults = append(r.faults, Fault{File: file, Line: 1, Column: 1, Rule: fmt.Sprintf("the file is over %d bytes", MaxFile)})
		return top, r
	}
	tree, err := parse(text)
	if err != nil {
		f := Fault{File: file, Line: 1, Column: 1, Rule: err.Error()}
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) && syntax.Token != nil {
			f.Line, f.Column, f.Rule = syntax.Token.Position.Line, syntax.Token.Position.Column, syntax.Message
		}
		r.faults = append(r.faults, f)
		return top, r
	}
	if len(tree.Docs) > 1 {
		line, column := 1, 1
		if d := tree.Docs[1]; d.Start != nil {
			line, column = d.Start.Position.Line, d.Start.Position.Column
		}
		r.faults = append(r.faults, Fault{File: file, Line: line, Column: column, Rule: "a second document; one file is one"})
	}
	if len(tree.Docs) > 0 {
		r.collect(tree.Docs[0].Body, 0)
		top.node = tree.Docs[0].Body
	}
	return top, r
}

// parse keeps a fault in the library, which some texts have brought about, from being one here.
func parse(text []byte) (tree *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be read: %v", p)
		}
	}()
	return parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
}

// collect remembers anchors, so that an alias may stand before what else refers to it.
func (r *reader) collect(n ast.Node, depth int) {
	if n == nil || depth > 10*maxDepth {
		return
	}
	switch n := n.(type) {
	case *ast.AnchorNode:
		r.anchors[n.Name.String()] = n.Value
		r.collect(n.Value, depth+1)
	case *ast.MappingNode:
		for _, v := range n.Values {
			r.collect(v.Value, depth+1)
		}
	case *ast.MappingValueNode:
		r.collect(n.Value, depth+1)
	case *ast.SequenceNode:
		for _, v := range n.Values {
			r.collect(v, depth+1)
		}
	}
}

// resolve follows anchors and aliases to a value.
func (p place) resolve() ast.Node {
	n := p.node
	for range maxDepth {
		switch x := n.(type) {
		case *ast.AnchorNode:
			n = x.Value
		case *ast.AliasNode:
			name := x.Value.String()
			target, ok := p.r.anchors[name]
			if !ok {
				p.fault("the alias *%s has no anchor", name)
				return nil
			}
			n = target
		case *ast.TagNode:
			n = x.Value
		default:
			return n
		}
	}
	p.fault("aliases that lead to each other")
	return nil
}

func position(n ast.Node) (line, column int) {
	if n == nil {
		return 1, 1
	}
	t := n.GetToken()
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 && !m.IsFlowStyle {
		t = m.Values[0].Key.GetToken()
	}
	if m, ok := n.(*ast.MappingValueNode); ok {
		t = m.Key.GetToken()
	}
	if t == nil || t.Position == nil {
		return 1, 1
	}
	return t.Position.Line, t.Position.Column
}

// fault notes what is wrong at a place.
func (p place) fault(format string, args ...any) {
	line, column := position(p.node)
	p.r.faults = append(p.r.faults, Fault{p.r.file, line, column, p.path, fmt.Sprintf(format, args...)})
}

func (p place) there() bool {
	if p.node == nil {
		return false
	}
	_, null := p.resolve().(*ast.NullNode)
	return !null
}

func (p place) line() int {
	line, _ := position(p.node)
	return line
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// object reads a mapping: its members by name, none but those known, none twice. Merge keys bring in what they name.
func (p place) object(known ...string) map[string]place {
	members := map[string]place{}
	p.into(members, known, map[string]bool{}, 0)
	return members
}

func (p place) into(members map[string]place, known []string, seen map[string]bool, depth int) {
	if !p.there() {
		return
	}
	if depth > maxDepth {
		p.fault("nested deeper than %d", maxDepth)
		return
	}
	var values []*ast.MappingValueNode
	switch n := p.resolve().(type) {
	case nil:
		return
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		p.fault("wants members, as name: value")
		return
	}
	mine := map[string]bool{}
	var merges []place
	for _, v := range values {
		if p.r.nodes++; p.r.nodes > maxNodes {
			p.fault("more than %d values, aliases counted each time", maxNodes)
			return
		}
		name := keyName(v.Key)
		at := place{p.r, v.Value, join(p.path, name)}
		key := place{p.r, v.Key, join(p.path, name)}
		switch {
		case v.Key.IsMergeKey():
			merges = append(merges, place{p.r, v.Value, p.path})
		case mine[name]:
			key.fault("stands twice")
		case known != nil && !slices.Contains(known, name):
			key.fault("is not known here%s", nearest(name, known))
		case seen[name]: // given nearer by
		default:
			members[name] = at
		}
		mine[name], seen[name] = true, true
	}
	for _, m := range merges {
		m.into(members, known, seen, depth+1)
	}
}

func keyName(k ast.MapKeyNode) string {
	if s, ok := k.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.Trim(k.String(), `"'`)
}

// nearest suggests a name that was perhaps meant.
func nearest(name string, known []string) string {
	best, least := "", 3
	for _, k := range known {
		if d := distance(name, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return "; wants " + strings.Join(known, ", ")
	}
	return "; perhaps " + best
}

// distance is the edit distance of two short names.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}

// list reads a sequence.
func (p place) list(most int) (list []place) {
	if !p.there() {
		return nil
	}
	n, ok := p.resolve().(*ast.SequenceNode)
	if !ok {
		p.fault("wants a list")
		return nil
	}
	if len(n.Values) > most {
		p.fault("has %d entries, at most %d are allowed", len(n.Values), most)
		return nil
	}
	for i, v := range n.Values {
		list = append(list, place{p.r, v, fmt.Sprintf("%s[%d]", p.path, i)})
	}
	return list
}

// text reads a string. Numbers and the like are taken as they are written.
func (p place) text() string {
	if !p.there() {
		return ""
	}
	switch n := p.resolve().(type) {
	case nil:
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value
	default:
		p.fault("wants a text")
	}
	return ""
}

// of reads one of some texts.
func (p place) of(absent string, allowed ...string) string {
	if !p.there() {
		return absent
	}
	s := p.text()
	if !slices.Contains(allowed, s) {
		p.fault("is %.40q; wants %s", s, strings.Join(allowed, ", "))
		return absent
	}
	return s
}

func (p place) number() (float64, bool) {
	switch n := p.resolve().(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		x, err := strconv.ParseFloat(strings.ReplaceAll(n.GetToken().Value, "_", ""), 64)
		if err == nil && !math.IsInf(x, 0) && !math.IsNaN(x) {
			return x, true
		}
	case *ast.StringNode:
		if n.Token.Type == token.StringType { // an unquoted one that is no number
			if unit := strings.TrimLeft(n.Value, "0123456789."); unit != n.Value && unit != "" {
				p.fault("has the unit %.20q; wants a plain number", unit)
				return 0, false
			}
		}
	}
	p.fault("wants a number")
	return 0, false
}

// float reads a number between bounds.
func (p place) float(absent, least, most float64) float64 {
	if !p.there() {
		return absent
	}
	x, ok := p.number()
	if ok && (x < least || x > most) {
		p.fault("is %v; wants %v to %v", x, least, most)
		ok = false
	}
	if !ok {
		return absent
	}
	return x
}

// whole reads a whole number between bounds.
func (p place) whole(absent, least, most int) int {
	if !p.there() {
		return absent
	}
	x, ok := p.number()
	switch {
	case !ok:
		return absent
	case x != math.Trunc(x):
		p.fault("is %v; wants a whole number", x)
		return absent
	case x < float64(least) || x > float64(most):
		p.fault("is %v; wants %d to %d", x, least, most)
		return absent
	}
	return int(x)
}

// sizes are the units of a size in bytes.
var sizes = []struct {
	unit  string
	bytes float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// size reads a size in bytes, with a unit.
func (p place) size(absent, least, most int) int {
	if !p.there() {
		return absent
	}
	s := p.text()
	for _, u := range sizes {
		n, ok := strings.CutSuffix(s, u.unit)
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(strings.TrimSpace(n), 64)
		if err == nil && x*u.bytes >= float64(least) && x*u.bytes <= float64(most) {
			return int(x * u.bytes)
		}
		p.fault("is %.40q; wants %d to %d bytes", s, least, most)
		return absent
	}
	p.fault("is %.40q; wants a size with its unit, as 64KiB or 2MB", s)
	return absent
}

// time reads a time with its unit, above 0 and at most so long.
func (p place) time(absent, most time.Duration) time.Duration {
	if !p.there() {
		return absent
	}
	s := p.text()
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		p.fault("is %.40q; wants a time with its unit, as 900ms or 2s", s)
	case d <= 0 || d > most:
		p.fault("is %v; wants more than 0 and at most %v", d, most)
	default:
		return d
	}
	return absent
}

// flag reads true or false.
func (p place) flag(absent bool) bool {
	if !p.there() {
		return absent
	}
	n, ok := p.resolve().(*ast.BoolNode)
	if !ok {
		p.fault("wants true or false")
		return absent
	}
	return n.Value
}

// done gives the faults, by place.
func (r *reader) done() error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	return slices.Compact(r.faults)
}
