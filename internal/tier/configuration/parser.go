package configuration

import (
	"math"
	"strconv"
)

// maxDepth bounds the nesting of values.
const maxDepth = 64

// parser is a strict JSON parser: exactly one value, no key twice in an object, all strings valid UTF-8. It tracks the
// path of the value being parsed for errors. encoding/json does not serve, as it accepts duplicate keys and replaces
// invalid UTF-8.
type parser struct {
	input  []byte
	offset int
	depth  int
	field  string // path of the value being parsed, for errors
}

func (p *parser) errorf(format string, arguments ...any) error {
	return fieldErrorf(p.field, format, arguments...)
}

func (p *parser) skipSpace() {
	for p.offset < len(p.input) {
		switch p.input[p.offset] {
		case ' ', '\t', '\n', '\r':
			p.offset++
		default:
			return
		}
	}
}

// peek skips white space and returns the next byte without consuming it, or 0 at the end of the input.
func (p *parser) peek() byte {
	p.skipSpace()
	if p.offset == len(p.input) {
		return 0
	}
	return p.input[p.offset]
}

// expect consumes the next byte, which must be this one.
func (p *parser) expect(want byte) error {
	found := p.peek()
	if found == want {
		p.offset++
		return nil
	}
	if p.offset == len(p.input) {
		return p.errorf("the body ends early, want %q", want)
	}
	return p.errorf("byte %d is %q, want %q", p.offset, found, want)
}

func (p *parser) expectEnd() error {
	p.skipSpace()
	if p.offset < len(p.input) {
		return fieldErrorf("", "byte %d: more follows the configuration", p.offset)
	}
	return nil
}

// enterValue bounds the recursion.
func (p *parser) enterValue() error {
	p.depth++
	if p.depth > maxDepth {
		return p.errorf("more than %d nested values", maxDepth)
	}
	return nil
}

// parseObject calls member for each key; member parses the value.
func (p *parser) parseObject(member func(key string) error) error {
	if err := p.enterValue(); err != nil {
		return err
	}
	if err := p.expect('{'); err != nil {
		return err
	}
	outer := p.field
	var known keySet
	for first := true; ; first = false {
		if first && p.peek() == '}' {
			break
		}
		key, err := p.parseString()
		if err != nil {
			return err
		}
		p.field = joinPath(outer, key)
		if !known.add(key) {
			return p.errorf("the key stands twice in one object")
		}
		if err := p.expect(':'); err != nil {
			return err
		}
		if err := member(key); err != nil {
			return err
		}
		p.field = outer
		if p.peek() != ',' {
			break
		}
		p.offset++
	}
	p.depth--
	return p.expect('}')
}

// parseArray calls element for each value; element parses it.
func (p *parser) parseArray(element func() error) error {
	if err := p.enterValue(); err != nil {
		return err
	}
	if err := p.expect('['); err != nil {
		return err
	}
	outer := p.field
	for index := 0; ; index++ {
		if index == 0 && p.peek() == ']' {
			break
		}
		p.field = outer + "[" + strconv.Itoa(index) + "]"
		if err := element(); err != nil {
			return err
		}
		p.field = outer
		if p.peek() != ',' {
			break
		}
		p.offset++
	}
	p.depth--
	return p.expect(']')
}

func joinPath(outer, key string) string {
	if outer == "" {
		return key
	}
	return outer + "." + key
}

// skipValue parses a value of any type and ignores it.
func (p *parser) skipValue() error {
	switch p.peek() {
	case '{':
		return p.parseObject(func(string) error { return p.skipValue() })
	case '[':
		return p.parseArray(p.skipValue)
	case '"':
		_, err := p.parseString()
		return err
	case 't', 'f':
		_, err := p.parseBool()
		return err
	case 'n':
		return p.expectLiteral("null")
	default:
		_, err := p.parseFloat()
		return err
	}
}

// acceptNull consumes a null if it is the next value, and reports whether it was.
func (p *parser) acceptNull() bool {
	return p.peek() == 'n' && p.expectLiteral("null") == nil
}

func (p *parser) expectLiteral(text string) error {
	rest := p.input[p.offset:]
	if len(rest) < len(text) || string(rest[:len(text)]) != text {
		return p.errorf("byte %d: want %s", p.offset, text)
	}
	p.offset += len(text)
	return nil
}

func (p *parser) parseBool() (bool, error) {
	switch p.peek() {
	case 't':
		return true, p.expectLiteral("true")
	case 'f':
		return false, p.expectLiteral("false")
	}
	return false, p.errorf("want true or false")
}

func (p *parser) parseFloat() (float64, error) {
	text, err := p.scanNumber()
	if err != nil {
		return 0, err
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(value, 0) {
		return 0, p.errorf("%s is out of range", text)
	}
	return value, nil
}

// parseUint parses a number that has no fractional part and is not negative.
func (p *parser) parseUint() (uint64, error) {
	text, err := p.scanNumber()
	if err != nil {
		return 0, err
	}
	if value, err := strconv.ParseUint(text, 10, 64); err == nil {
		return value, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 0 || value != math.Trunc(value) || value >= 1<<63 {
		return 0, p.errorf("%s is no whole number from 0 up", text)
	}
	return uint64(value), nil
}

// scanNumber consumes a number by JSON's grammar and returns its text.
func (p *parser) scanNumber() (string, error) {
	p.skipSpace()
	start := p.offset
	p.accept('-')
	if !p.accept('0') && p.skipDigits() == 0 {
		return "", p.errorf("byte %d: want a value of the right type", start)
	}
	if p.accept('.') && p.skipDigits() == 0 {
		return "", p.errorf("byte %d: digits are missing after the point", p.offset)
	}
	if p.accept('e') || p.accept('E') {
		_ = p.accept('+') || p.accept('-')
		if p.skipDigits() == 0 {
			return "", p.errorf("byte %d: digits are missing in the exponent", p.offset)
		}
	}
	return string(p.input[start:p.offset]), nil
}

// accept consumes the next byte if it is this one, without skipping white space.
func (p *parser) accept(wanted byte) bool {
	if p.offset < len(p.input) && p.input[p.offset] == wanted {
		p.offset++
		return true
	}
	return false
}

// skipDigits consumes decimal digits and returns their number.
func (p *parser) skipDigits() int {
	start := p.offset
	for p.offset < len(p.input) && p.input[p.offset] >= '0' && p.input[p.offset] <= '9' {
		p.offset++
	}
	return p.offset - start
}

// keySet is the set of the keys of one object: a list while there are few, so that usual objects need no map.
type keySet struct {
	few  []string
	many map[string]struct{}
}

const maxListedKeys = 32

// add adds a key and reports whether it is new.
func (k *keySet) add(key string) bool {
	if k.many != nil {
		_, known := k.many[key]
		k.many[key] = struct{}{}
		return !known
	}
	for _, known := range k.few {
		if known == key {
			return false
		}
	}
	k.few = append(k.few, key)
	if len(k.few) > maxListedKeys {
		k.many = make(map[string]struct{}, 2*maxListedKeys)
		for _, known := range k.few {
			k.many[known] = struct{}{}
		}
	}
	return true
}
