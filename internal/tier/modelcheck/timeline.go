package modelcheck

import (
	"fmt"
	"strings"
	"time"
)

// Timeline is the log of a run, with one column for each node.
type Timeline struct {
	nodes int
	rows  []row
}

type row struct {
	point int
	at    time.Duration
	node  int
	text  string
}

func newTimeline(nodes int) *Timeline { return &Timeline{nodes: nodes} }

func (t *Timeline) add(r *run, node int, text string) { t.addAt(r.points, r.now(), node, text) }

func (t *Timeline) addAt(point int, at time.Duration, node int, text string) {
	t.rows = append(t.rows, row{point: point, at: at, node: node, text: text})
}

const columnWidth = 34

// String returns a table: the number of the point, milliseconds, and what happened at which node. Faults start with "!",
// results of operations with "=".
func (t *Timeline) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%5s %6s", "point", "ms")
	for node := range t.nodes {
		fmt.Fprintf(&text, "  %-*s", columnWidth, fmt.Sprintf("n%d", node))
	}
	text.WriteString("\n")
	for _, row := range t.rows {
		for i, part := range wrap(row.text) {
			if i == 0 {
				fmt.Fprintf(&text, "%5d %6d", row.point, row.at.Milliseconds())
			} else {
				fmt.Fprintf(&text, "%12s", "")
			}
			fmt.Fprintf(&text, "%s  %s\n", strings.Repeat(" ", row.node*(columnWidth+2)), part)
		}
	}
	return text.String()
}

// wrap breaks a text at spaces into parts that fit a column.
func wrap(text string) (parts []string) {
	line := ""
	for word := range strings.FieldsSeq(text) {
		if line != "" && len(line)+1+len(word) > columnWidth {
			parts = append(parts, line)
			line = "  " + word
			continue
		}
		line = strings.TrimLeft(line+" "+word, " ")
	}
	return append(parts, line)
}
