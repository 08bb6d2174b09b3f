package configuration

import (
	"math"
	"strconv"
)

// maxDepth limits the nesting of objects and arrays.
const maxDepth = 64

// parser is a strict JSON parser: it accepts exactly one value and rejects duplicate keys and invalid UTF-8. It tracks the path
// of the value being parsed for error messages. encoding/json is not used because it accepts duplicate keys and replaces invalid
// UTF-8.
type parser struct {
	input     []byte
	offset    int
	depth     int
	fieldPath string // path of the value being parsed, for error messages
}

func (p *parser) errorf(format string, arguments ...any) error {
	return fieldErrorf(p.fieldPath, format, arguments...)
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

// expectByte skips white space and consumes the next byte, or returns an error if it is not the wanted one.
func (p *parser) expectByte(want byte) error {
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

// enterValue enters an object or array, or returns an error if the nesting exceeds maxDepth.
func (p *parser) enterValue() error {
	p.depth++
	if p.depth > maxDepth {
		return p.errorf("more than %d nested values", maxDepth)
	}
	return nil
}

// parseObject parses an object. It calls member after each key; member parses the value.
func (p *parser) parseObject(member func(key string) error) error {
	if err := p.enterValue(); err != nil {
		return err
	}
	if err := p.expectByte('{'); err != nil {
		return err
	}
	outer := p.fieldPath
	var known keySet
	for first := true; ; first = false {
		if first && p.peek() == '}' {
			break
		}
		key, err := p.parseString()
		if err != nil {
			return err
		}
		p.fieldPath = joinPath(outer, key)
		if !known.add(key) {
			return p.errorf("the key stands twice in one object")
		}
		if err := p.expectByte(':'); err != nil {
			return err
		}
		if err := member(key); err != nil {
			return err
		}
		p.fieldPath = outer
		if p.peek() != ',' {
			break
		}
		p.offset++
	}
	p.depth--
	return p.expectByte('}')
}

// parseArray parses an array. It calls element for each value; element parses the value.
func (p *parser) parseArray(element func() error) error {
	if err := p.enterValue(); err != nil {
		return err
	}
	if err := p.expectByte('['); err != nil {
		return err
	}
	outer := p.fieldPath
	for index := 0; ; index++ {
		if index == 0 && p.peek() == ']' {
			break
		}
		p.fieldPath = outer + "[" + strconv.Itoa(index) + "]"
		if err := element(); err != nil {
			return err
		}
		p.fieldPath = outer
		if p.peek() != ',' {
			break
		}
		p.offset++
	}
	p.depth--
	return p.expectByte(']')
}

func joinPath(outer, key string) string {
	if outer == "" {
		return key
	}
	return outer + "." + key
}

// skipValue parses a value of any type and discards it.
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

// acceptNull consumes the next value if it is null, and reports whether it did.
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

// parseUint parses a non-negative integer, also in a notation such as 7.0 or 1e3.
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

// scanNumber consumes a number according to the JSON grammar and returns its text.
func (p *parser) scanNumber() (string, error) {
	p.skipSpace()
	start := p.offset
	p.acceptByte('-')
	if !p.acceptByte('0') && p.skipDigits() == 0 {
		return "", p.errorf("byte %d: want a value of the right type", start)
	}
	if p.acceptByte('.') && p.skipDigits() == 0 {
		return "", p.errorf("byte %d: digits are missing after the point", p.offset)
	}
	if p.acceptByte('e') || p.acceptByte('E') {
		_ = p.acceptByte('+') || p.acceptByte('-')
		if p.skipDigits() == 0 {
			return "", p.errorf("byte %d: digits are missing in the exponent", p.offset)
		}
	}
	return string(p.input[start:p.offset]), nil
}

// acceptByte consumes the next byte if it is the wanted one, and reports whether it did. It does not skip white space.
func (p *parser) acceptByte(wanted byte) bool {
	if p.offset < len(p.input) && p.input[p.offset] == wanted {
		p.offset++
		return true
	}
	return false
}

// skipDigits consumes decimal digits and returns how many there were.
func (p *parser) skipDigits() int {
	start := p.offset
	for p.offset < len(p.input) && p.input[p.offset] >= '0' && p.input[p.offset] <= '9' {
		p.offset++
	}
	return p.offset - start
}

// keySet is the set of keys of one object. Up to maxListedKeys keys are kept in a list, so that most objects need no map.
type keySet struct {
	list []string
	set  map[string]struct{}
}

const maxListedKeys = 32

// add adds a key and reports whether it was absent.
func (k *keySet) add(key string) bool {
	if k.set != nil {
		_, known := k.set[key]
		k.set[key] = struct{}{}
		return !known
	}
	for _, known := range k.list {
		if known == key {
			return false
		}
	}
	k.list = append(k.list, key)
	if len(k.list) > maxListedKeys {
		k.set = make(map[string]struct{}, 2*maxListedKeys)
		for _, known := range k.list {
			k.set[known] = struct{}{}
		}
	}
	return true
}
