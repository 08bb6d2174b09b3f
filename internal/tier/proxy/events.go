package proxy

import "bytes"

// event is one event of a stream.
type event struct {
	raw     []byte // with its blank line
	id      []byte
	hasID   bool
	data    []byte // lines joined by line feeds; aliases raw where it is one line
	hasData bool   // it has data

	version []byte // of the weights from here on, where it changes
}

// nextEvent cuts the first whole event off the bytes; false where it has not come whole.
func nextEvent(from []byte) (event, bool) {
	end := eventEnd(from)
	if end == 0 {
		return event{}, false
	}
	parsed := event{raw: from[:end]}
	parsed.parse()
	return parsed, true
}

// eventEnd is the length of the first event with its blank line, 0 where that has not come.
func eventEnd(from []byte) int {
	start := 0
	for {
		feed := bytes.IndexByte(from[start:], '\n')
		if feed < 0 {
			return 0
		}
		line := from[start : start+feed]
		start += feed + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return start
		}
	}
}

func (e *event) parse() {
	rest := e.raw
	for len(rest) > 0 {
		feed := bytes.IndexByte(rest, '\n')
		line := bytes.TrimSuffix(rest[:feed], []byte{'\r'})
		rest = rest[feed+1:]
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "id":
			e.id, e.hasID = value, true
		case "data":
			e.addData(value)
		case "versions":
			e.version = value
		}
	}
}

func (e *event) addData(value []byte) {
	if !e.hasData {
		e.data, e.hasData = value, true
		return
	}
	joined := make([]byte, 0, len(e.data)+1+len(value))
	joined = append(joined, e.data...)
	joined = append(joined, '\n')
	e.data = append(joined, value...)
}
