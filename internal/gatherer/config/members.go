package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// object reads a mapping: its members by name. Unknown and duplicate names are errors. Merge keys are followed.
func (p value) object(known ...string) map[string]value {
	members := map[string]value{}
	p.collectMembers(members, known, map[string]bool{}, 0)
	return members
}

// collectMembers reads the members into a map; seen are those that take precedence.
func (p value) collectMembers(members map[string]value, known []string, seen map[string]bool, depth int) {
	if !p.exists() {
		return
	}
	if depth > maxDepth {
		p.addError("nested deeper than %d", maxDepth)
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
		p.addError("wants members, as name: value")
		return
	}
	mine := map[string]bool{}
	var merges []value
	for _, v := range values {
		if p.reader.nodes++; p.reader.nodes > maxNodes {
			p.addError("more than %d values, aliases counted each time", maxNodes)
			return
		}
		name := keyName(v.Key)
		at := value{p.reader, v.Value, join(p.path, name)}
		key := value{p.reader, v.Key, join(p.path, name)}
		switch {
		case v.Key.IsMergeKey():
			merges = append(merges, value{p.reader, v.Value, p.path})
		case mine[name]:
			key.addError("stands twice")
		case known != nil && !slices.Contains(known, name):
			key.addError("is not known here%s", nearest(name, known))
		case seen[name]: // it takes precedence over a merged one
		default:
			members[name] = at
		}
		mine[name], seen[name] = true, true
	}
	for _, m := range merges {
		m.collectMembers(members, known, seen, depth+1)
	}
}

// keyName is the name of a key.
func keyName(k ast.MapKeyNode) string {
	if s, ok := k.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.Trim(k.String(), `"'`)
}

// nearest suggests the most similar known name.
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
func (p value) list(limit int) (list []value) {
	if !p.exists() {
		return nil
	}
	n, ok := p.resolve().(*ast.SequenceNode)
	if !ok {
		p.addError("wants a list")
		return nil
	}
	if len(n.Values) > limit {
		p.addError("has %d entries, at most %d are allowed", len(n.Values), limit)
		return nil
	}
	for i, v := range n.Values {
		list = append(list, value{p.reader, v, fmt.Sprintf("%s[%d]", p.path, i)})
	}
	return list
}
