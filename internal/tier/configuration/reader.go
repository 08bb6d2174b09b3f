package configuration

import (
	"math"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// maximumDepth bounds nested values.
const maximumDepth = 64

// reader reads JSON strictly: one value, nothing after it, no key twice in an object.
type reader struct {
	text  []byte
	at    int
	depth int
	field string // path of the value being read, for faults
}

func (r *reader) fault(format string, arguments ...any) error {
	return faultAt(r.field, format, arguments...)
}

func (r *reader) space() {
	for r.at < len(r.text) {
		switch r.text[r.at] {
		case ' ', '\t', '\n', '\r':
			r.at++
		default:
			return
		}
	}
}

// next skips white space and returns the next byte without taking it; 0 at the end.
func (r *reader) next() byte {
	r.space()
	if r.at == len(r.text) {
		return 0
	}
	return r.text[r.at]
}

func (r *reader) take(want byte) error {
	found := r.next()
	if found == want {
		r.at++
		return nil
	}
	if r.at == len(r.text) {
		return r.fault("the body ends early, want %q", want)
	}
	return r.fault("byte %d is %q, want %q", r.at, found, want)
}

func (r *reader) end() error {
	r.space()
	if r.at < len(r.text) {
		return faultAt("", "byte %d: more follows the configuration", r.at)
	}
	return nil
}

func (r *reader) enter() error {
	r.depth++
	if r.depth > maximumDepth {
		return r.fault("more than %d nested values", maximumDepth)
	}
	return nil
}

// object calls member for each key; member takes the value.
func (r *reader) object(member func(key string) error) error {
	if err := r.enter(); err != nil {
		return err
	}
	if err := r.take('{'); err != nil {
		return err
	}
	outer := r.field
	var known keys
	for first := true; ; first = false {
		if first && r.next() == '}' {
			break
		}
		key, err := r.word()
		if err != nil {
			return err
		}
		r.field = join(outer, key)
		if !known.add(key) {
			return r.fault("the key stands twice in one object")
		}
		if err := r.take(':'); err != nil {
			return err
		}
		if err := member(key); err != nil {
			return err
		}
		r.field = outer
		if r.next() != ',' {
			break
		}
		r.at++
	}
	r.depth--
	return r.take('}')
}

// array calls element for each value; element takes it.
func (r *reader) array(element func() error) error {
	if err := r.enter(); err != nil {
		return err
	}
	if err := r.take('['); err != nil {
		return err
	}
	outer := r.field
	for index := 0; ; index++ {
		if index == 0 && r.next() == ']' {
			break
		}
		r.field = outer + "[" + strconv.Itoa(index) + "]"
		if err := element(); err != nil {
			return err
		}
		r.field = outer
		if r.next() != ',' {
			break
		}
		r.at++
	}
	r.depth--
	return r.take(']')
}

func join(outer, key string) string {
	if outer == "" {
		return key
	}
	return outer + "." + key
}

// skip takes a value of any type.
func (r *reader) skip() error {
	switch r.next() {
	case '{':
		return r.object(func(string) error { return r.skip() })
	case '[':
		return r.array(r.skip)
	case '"':
		_, err := r.word()
		return err
	case 't', 'f':
		_, err := r.boolean()
		return err
	case 'n':
		return r.literal("null")
	default:
		_, err := r.number()
		return err
	}
}

// null takes a null where one stands.
func (r *reader) null() bool {
	return r.next() == 'n' && r.literal("null") == nil
}

func (r *reader) literal(word string) error {
	rest := r.text[r.at:]
	if len(rest) < len(word) || string(rest[:len(word)]) != word {
		return r.fault("byte %d: want %s", r.at, word)
	}
	r.at += len(word)
	return nil
}

func (r *reader) boolean() (bool, error) {
	switch r.next() {
	case 't':
		return true, r.literal("true")
	case 'f':
		return false, r.literal("false")
	}
	return false, r.fault("want true or false")
}

func (r *reader) number() (float64, error) {
	word, err := r.digits()
	if err != nil {
		return 0, err
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsInf(value, 0) {
		return 0, r.fault("%s is out of range", word)
	}
	return value, nil
}

// whole takes a number without a fraction, from 0 up.
func (r *reader) whole() (uint64, error) {
	word, err := r.digits()
	if err != nil {
		return 0, err
	}
	if value, err := strconv.ParseUint(word, 10, 64); err == nil {
		return value, nil
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || value < 0 || value != math.Trunc(value) || value >= 1<<63 {
		return 0, r.fault("%s is no whole number from 0 up", word)
	}
	return uint64(value), nil
}

// digits takes the text of a number by JSON's grammar.
func (r *reader) digits() (string, error) {
	r.space()
	start := r.at
	r.accept('-')
	if !r.accept('0') && r.run() == 0 {
		return "", r.fault("byte %d: want a value of the right type", start)
	}
	if r.accept('.') && r.run() == 0 {
		return "", r.fault("byte %d: digits are missing after the point", r.at)
	}
	if r.accept('e') || r.accept('E') {
		_ = r.accept('+') || r.accept('-')
		if r.run() == 0 {
			return "", r.fault("byte %d: digits are missing in the exponent", r.at)
		}
	}
	return string(r.text[start:r.at]), nil
}

func (r *reader) accept(wanted byte) bool {
	if r.at < len(r.text) && r.text[r.at] == wanted {
		r.at++
		return true
	}
	return false
}

func (r *reader) run() int {
	start := r.at
	for r.at < len(r.text) && r.text[r.at] >= '0' && r.text[r.at] <= '9' {
		r.at++
	}
	return r.at - start
}

// word takes one string.
func (r *reader) word() (string, error) {
	if err := r.take('"'); err != nil {
		return "", err
	}
	start := r.at
	for r.at < len(r.text) {
		switch c := r.text[r.at]; {
		case c == '"':
			word := r.text[start:r.at]
			r.at++
			if !utf8.Valid(word) {
				return "", r.fault("byte %d: a string is no UTF-8", start)
			}
			return string(word), nil
		case c == '\\':
			return r.escaped(start)
		case c < ' ':
			return "", r.fault("byte %d: a control character within a string", r.at)
		}
		r.at++
	}
	return "", r.fault("the body ends within a string")
}

// escaped goes on with a string at its first escape.
func (r *reader) escaped(start int) (string, error) {
	word := append([]byte(nil), r.text[start:r.at]...)
	for r.at < len(r.text) {
		c := r.text[r.at]
		r.at++
		switch {
		case c == '"':
			if !utf8.Valid(word) {
				return "", r.fault("byte %d: a string is no UTF-8", start)
			}
			return string(word), nil
		case c < ' ':
			return "", r.fault("byte %d: a control character within a string", r.at-1)
		case c != '\\':
			word = append(word, c)
		default:
			var err error
			if word, err = r.escape(word); err != nil {
				return "", err
			}
		}
	}
	return "", r.fault("the body ends within a string")
}

var escapes = map[byte]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

func (r *reader) escape(word []byte) ([]byte, error) {
	if r.at == len(r.text) {
		return nil, r.fault("the body ends within a string")
	}
	c := r.text[r.at]
	r.at++
	if plain, ok := escapes[c]; ok {
		return append(word, plain), nil
	}
	if c != 'u' {
		return nil, r.fault("byte %d: unknown escape", r.at-1)
	}
	first, err := r.hex()
	if err != nil {
		return nil, err
	}
	if !utf16.IsSurrogate(first) {
		return utf8.AppendRune(word, first), nil
	}
	if !r.accept('\\') || !r.accept('u') {
		return nil, r.fault("byte %d: half of a surrogate pair", r.at)
	}
	second, err := r.hex()
	if err != nil {
		return nil, err
	}
	decoded := utf16.DecodeRune(first, second)
	if decoded == utf8.RuneError {
		return nil, r.fault("byte %d: half of a surrogate pair", r.at)
	}
	return utf8.AppendRune(word, decoded), nil
}

func (r *reader) hex() (rune, error) {
	if len(r.text)-r.at < 4 {
		return 0, r.fault("the body ends within a string")
	}
	value, err := strconv.ParseUint(string(r.text[r.at:r.at+4]), 16, 16)
	if err != nil {
		return 0, r.fault("byte %d: want four hexadecimal digits", r.at)
	}
	r.at += 4
	return rune(value), nil
}

// keys of one object: a list while there are few.
type keys struct {
	few  []string
	many map[string]struct{}
}

const fewKeys = 32

// add says whether the key is new.
func (k *keys) add(key string) bool {
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
	if len(k.few) > fewKeys {
		k.many = make(map[string]struct{}, 2*fewKeys)
		for _, known := range k.few {
			k.many[known] = struct{}{}
		}
	}
	return true
}
