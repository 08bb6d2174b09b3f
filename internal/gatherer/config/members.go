package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

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
