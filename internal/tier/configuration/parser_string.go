package configuration

import (
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// parseString parses a string. One without escape sequences is copied from the input in one piece.
func (p *parser) parseString() (string, error) {
	if err := p.expectByte('"'); err != nil {
		return "", err
	}
	start := p.offset
	for p.offset < len(p.input) {
		switch c := p.input[p.offset]; {
		case c == '"':
			text := p.input[start:p.offset]
			p.offset++
			if !utf8.Valid(text) {
				return "", p.errorf("byte %d: a string is no UTF-8", start)
			}
			return string(text), nil
		case c == '\\':
			return p.parseEscapedString(start)
		case c < ' ':
			return "", p.errorf("byte %d: a control character within a string", p.offset)
		}
		p.offset++
	}
	return "", p.errorf("the body ends within a string")
}

// parseEscapedString parses the rest of a string from its first escape sequence. start is the offset of the first character.
func (p *parser) parseEscapedString(start int) (string, error) {
	text := append([]byte(nil), p.input[start:p.offset]...)
	for p.offset < len(p.input) {
		c := p.input[p.offset]
		p.offset++
		switch {
		case c == '"':
			if !utf8.Valid(text) {
				return "", p.errorf("byte %d: a string is no UTF-8", start)
			}
			return string(text), nil
		case c < ' ':
			return "", p.errorf("byte %d: a control character within a string", p.offset-1)
		case c != '\\':
			text = append(text, c)
		default:
			var err error
			if text, err = p.parseEscape(text); err != nil {
				return "", err
			}
		}
	}
	return "", p.errorf("the body ends within a string")
}

// escapedCharacters maps the character after the backslash of a JSON escape sequence to the character that it represents.
var escapedCharacters = map[byte]byte{'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// parseEscape parses an escape sequence after its backslash and appends the decoded character to text.
func (p *parser) parseEscape(text []byte) ([]byte, error) {
	if p.offset == len(p.input) {
		return nil, p.errorf("the body ends within a string")
	}
	c := p.input[p.offset]
	p.offset++
	if decoded, ok := escapedCharacters[c]; ok {
		return append(text, decoded), nil
	}
	if c != 'u' {
		return nil, p.errorf("byte %d: unknown escape", p.offset-1)
	}
	first, err := p.parseHexRune()
	if err != nil {
		return nil, err
	}
	if !utf16.IsSurrogate(first) {
		return utf8.AppendRune(text, first), nil
	}
	if !p.acceptByte('\\') || !p.acceptByte('u') {
		return nil, p.errorf("byte %d: half of a surrogate pair", p.offset)
	}
	second, err := p.parseHexRune()
	if err != nil {
		return nil, err
	}
	decoded := utf16.DecodeRune(first, second)
	if decoded == utf8.RuneError {
		return nil, p.errorf("byte %d: half of a surrogate pair", p.offset)
	}
	return utf8.AppendRune(text, decoded), nil
}

// parseHexRune parses the four hexadecimal digits of a \u escape.
func (p *parser) parseHexRune() (rune, error) {
	if len(p.input)-p.offset < 4 {
		return 0, p.errorf("the body ends within a string")
	}
	value, err := strconv.ParseUint(string(p.input[p.offset:p.offset+4]), 16, 16)
	if err != nil {
		return 0, p.errorf("byte %d: want four hexadecimal digits", p.offset)
	}
	p.offset += 4
	return rune(value), nil
}
