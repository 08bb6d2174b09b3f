package config

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

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
