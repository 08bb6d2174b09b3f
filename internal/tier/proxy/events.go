package proxy

import "bytes"

// event is one server-sent event of a stream.
type event struct {
	raw     []byte // including the blank line at its end
	id      []byte
	hasID   bool
	data    []byte // lines joined by line feeds; aliases raw where it is one line
	hasData bool   // at least one data field was seen, which may be empty

	version []byte // of the model weights from this event on, if it changes here
}

// nextEvent parses the first complete event of the bytes; ok is false if it is not complete yet.
func nextEvent(from []byte) (next event, ok bool) {
	end := eventEnd(from)
	if end == 0 {
		return event{}, false
	}
	parsed := event{raw: from[:end]}
	parsed.parse()
	return parsed, true
}

// eventEnd is the length of the first event including its blank line, or 0 if it is not complete yet.
func eventEnd(from []byte) int {
	start := 0
	for {
		newline := bytes.IndexByte(from[start:], '\n')
		if newline < 0 {
			return 0
		}
		line := from[start : start+newline]
		start += newline + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return start
		}
	}
}

func (e *event) parse() {
	rest := e.raw
	for len(rest) > 0 {
		newline := bytes.IndexByte(rest, '\n')
		line := bytes.TrimSuffix(rest[:newline], []byte{'\r'})
		rest = rest[newline+1:]
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
