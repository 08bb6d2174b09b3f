// Package config reads an installation's file of limits, in YAML or JSON. Every error has its line, its column, the rule that
// is violated and what would be allowed; all errors of a file are reported together. Use Load or Parse.
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
	maxNodes = 1 << 20 // values, where those of an alias count each time
)

// value is a value of the file with its position.
type value struct {
	reader *reader
	node   ast.Node // nil if absent
	path   string
}

// reader collects the errors of one file.
type reader struct {
	file      string
	errors    FieldErrors
	anchors   map[string]ast.Node
	resolving map[string]bool // anchors that are being looked into
	nodes     int
}

// read parses a text to its top-level value.
func read(file string, text []byte) (value, *reader) {
	r := &reader{file: file, anchors: map[string]ast.Node{}, resolving: map[string]bool{}}
	top := value{reader: r}
	if len(text) > MaxFile {
		r.errors = append(r.errors, FieldError{File: file, Line: 1, Column: 1, Rule: fmt.Sprintf("the file is over %d bytes", MaxFile)})
		return top, r
	}
	tree, err := parse(text)
	if err != nil {
		f := FieldError{File: file, Line: 1, Column: 1, Rule: err.Error()}
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) && syntax.Token != nil {
			f.Line, f.Column, f.Rule = syntax.Token.Position.Line, syntax.Token.Position.Column, syntax.Message
		}
		r.errors = append(r.errors, f)
		return top, r
	}
	if len(tree.Docs) > 1 {
		line, column := 1, 1
		if d := tree.Docs[1]; d.Start != nil {
			line, column = d.Start.Position.Line, d.Start.Position.Column
		}
		r.errors = append(r.errors, FieldError{File: file, Line: line, Column: column, Rule: "a second document; one file is one"})
	}
	if len(tree.Docs) > 0 {
		r.collect(tree.Docs[0].Body, 0)
		top.node = tree.Docs[0].Body
	}
	return top, r
}

// parse recovers panics of the library, which some texts have caused.
func parse(text []byte) (tree *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be read: %v", p)
		}
	}()
	return parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
}

// collect records the anchors.
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
func (p value) resolve() ast.Node {
	n := p.node
	for range maxDepth {
		switch x := n.(type) {
		case *ast.AnchorNode:
			n = x.Value
		case *ast.AliasNode:
			name := x.Value.String()
			target, ok := p.reader.anchors[name]
			if !ok {
				p.addError("the alias *%s has no anchor", name)
				return nil
			}
			n = target
		case *ast.TagNode:
			n = x.Value
		default:
			return n
		}
	}
	p.addError("aliases that lead to each other")
	return nil
}

// position is the line and column of a node.
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

// addError records an error at the position of the value.
func (p value) addError(format string, args ...any) {
	line, column := position(p.node)
	p.reader.errors = append(p.reader.errors, FieldError{p.reader.file, line, column, p.path, fmt.Sprintf(format, args...)})
}

// exists reports whether the value is present and not null.
func (p value) exists() bool {
	if p.node == nil {
		return false
	}
	_, null := p.resolve().(*ast.NullNode)
	return !null
}

// lineNumber is the line of the value.
func (p value) lineNumber() int {
	line, _ := position(p.node)
	return line
}

// join appends a name to the path of a field.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// result returns the errors by position, nil if there are none.
func (r *reader) result() error {
	if len(r.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(r.errors, func(a, b FieldError) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column)) })
	return slices.Compact(r.errors)
}
