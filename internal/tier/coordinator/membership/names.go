package membership

import (
	"slices"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// NodeNames formats nodes for a log line: their names, or their addresses if they have none, sorted and separated by spaces.
func NodeNames(nodes []*tierpb.Node) string {
	var names []string
	for _, node := range nodes {
		name := node.Name
		if name == "" {
			name = node.Address
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}
