package proxy

import "bytes"

// event is one server-sent event of a stream.
type event struct {
	raw     []byte // including the terminating blank line
	id      []byte
	hasID   bool
	data    []byte // data fields joined by line feeds; aliases raw if there is only one
	hasData bool   // whether there is a data field, which may be empty

	version []byte // version of the model weights from this event on; empty if unchanged
}

// nextEvent parses the first event of the buffer. ok is false if the event is not complete yet.
func nextEvent(from []byte) (next event, ok bool) {
	length := eventLength(from)
	if length == 0 {
		return event{}, false
	}
	parsed := event{raw: from[:length]}
	parsed.parse()
	return parsed, true
}

// eventLength returns the length of the first event including its terminating blank line, or 0 if the event is not
// complete yet.
func eventLength(from []byte) int {
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

// parse sets the fields of the event from its raw bytes.
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

// addData appends the value of a data field.
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
