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

// text reads a string. Numbers and booleans are returned as they are written.
func (p value) text() string {
	if !p.exists() {
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
		p.addError("wants a text")
	}
	return ""
}

// oneOf reads one of the allowed strings.
func (p value) oneOf(absent string, allowed ...string) string {
	if !p.exists() {
		return absent
	}
	s := p.text()
	if !slices.Contains(allowed, s) {
		p.addError("is %.40q; wants %s", s, strings.Join(allowed, ", "))
		return absent
	}
	return s
}

// number reads a number.
func (p value) number() (float64, bool) {
	switch n := p.resolve().(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		x, err := strconv.ParseFloat(strings.ReplaceAll(n.GetToken().Value, "_", ""), 64)
		if err == nil && !math.IsInf(x, 0) && !math.IsNaN(x) {
			return x, true
		}
	case *ast.StringNode:
		if n.Token.Type == token.StringType { // an unquoted string that is no number
			if unit := strings.TrimLeft(n.Value, "0123456789."); unit != n.Value && unit != "" {
				p.addError("has the unit %.20q; wants a plain number", unit)
				return 0, false
			}
		}
	}
	p.addError("wants a number")
	return 0, false
}

// float reads a number between bounds, 0 if absent.
func (p value) float(least, most float64) float64 {
	if !p.exists() {
		return 0
	}
	x, ok := p.number()
	if ok && (x < least || x > most) {
		p.addError("is %v; wants %v to %v", x, least, most)
		ok = false
	}
	if !ok {
		return 0
	}
	return x
}

// integer reads an integer between bounds.
func (p value) integer(absent, least, most int) int {
	if !p.exists() {
		return absent
	}
	x, ok := p.number()
	switch {
	case !ok:
		return absent
	case x != math.Trunc(x):
		p.addError("is %v; wants a whole number", x)
		return absent
	case x < float64(least) || x > float64(most):
		p.addError("is %v; wants %d to %d", x, least, most)
		return absent
	}
	return int(x)
}

// sizes are the units of a size in bytes.
var sizeUnits = []struct {
	unit  string
	bytes float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// size reads a size with a unit, in bytes.
func (p value) size(absent, least, most int) int {
	if !p.exists() {
		return absent
	}
	s := p.text()
	for _, u := range sizeUnits {
		n, ok := strings.CutSuffix(s, u.unit)
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(strings.TrimSpace(n), 64)
		if err == nil && x*u.bytes >= float64(least) && x*u.bytes <= float64(most) {
			return int(x * u.bytes)
		}
		p.addError("is %.40q; wants %d to %d bytes", s, least, most)
		return absent
	}
	p.addError("is %.40q; wants a size with its unit, as 64KiB or 2MB", s)
	return absent
}

// duration reads a duration with its unit, above 0 and at most maxTime; 0 if absent.
func (p value) duration() time.Duration {
	if !p.exists() {
		return 0
	}
	s := p.text()
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		p.addError("is %.40q; wants a time with its unit, as 900ms or 2s", s)
	case d <= 0 || d > maxTime:
		p.addError("is %v; wants more than 0 and at most %v", d, maxTime)
	default:
		return d
	}
	return 0
}

// boolean reads true or false.
func (p value) boolean(absent bool) bool {
	if !p.exists() {
		return absent
	}
	n, ok := p.resolve().(*ast.BoolNode)
	if !ok {
		p.addError("wants true or false")
		return absent
	}
	return n.Value
}
