// Package config reads the installation's own file, in YAML with JSON as its subset: every fault is told with its line,
// its column, the rule that it breaks and what would be allowed, all faults of a file in one go.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

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

// done gives the faults, by place.
func (r *reader) done() error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	return slices.Compact(r.faults)
}
