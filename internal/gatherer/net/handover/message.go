// Package handover is the protocol between a process and its successor, over a Unix socket: one JSON object per line. The
// successor sends hello and receives the state; from then on each side passes operators' calls to the other.
//
// The old process uses Listen and Accept, the successor Connect; both then call Link.Serve, and Link.Call for each call.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tidwall/gjson"
)

// Kind is the kind of a message.
type Kind string

// The kinds of messages.
const (
	Hello     Kind = "hello"
	StateSent Kind = "state"
	CallMade  Kind = "call"
	CallDone  Kind = "done" // the call is in force here as well
)

// Message is one line.
type Message struct {
	Kind  Kind   `json:"kind"`
	ID    int64  `json:"id,omitempty"`    // of a call and its confirmation
	Verb  string `json:"verb,omitempty"`  // of a call
	Name  string `json:"name,omitempty"`  // of a call
	AtMs  int64  `json:"at_ms,omitempty"` // of a call: when it was made
	State *State `json:"state,omitempty"` // of a state
}

// State is what a successor starts with.
type State struct {
	Hosts    json.RawMessage  `json:"hosts"`    // the list, in discovery's format
	Banned   []string         `json:"banned"`   // detached lot stores
	Attached map[string]int64 `json:"attached"` // lot stores attached again: when, in Unix time in ms
	Drain    bool             `json:"drain"`
	Records  []Record         `json:"records"`
	// PerSecond is how many subqueries per second all lot stores together answered; 0 for unknown.
	PerSecond float64 `json:"per_second,omitempty"`
}

// Record is what has been learned of a lot store.
type Record struct {
	Name        string    `json:"name"`
	Answers     []float64 `json:"answers"` // latencies, by bucket of the histogram
	Latency     float64   `json:"latency"` // seconds
	Failing     float64   `json:"failing"` // failure rate, 0 to 1
	Cap         float64   `json:"cap"`
	SlowStartMs int64     `json:"cold_ms"` // how long ago it was seen to restart, -1 for never
}

// maxPerSecond is more subqueries per second than one gatherer can get answered.
const maxPerSecond = 1e6

// maxMessage bounds the bytes of a message: a state of some hundred lot stores.
const maxMessage = 4 << 20

// Append appends the encoded message.
func (m Message) Append(b []byte) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // only Hosts could fail, and its maker encoded it
	}
	return append(append(b, text...), '\n')
}

// bad returns an error about a malformed message.
// bad returns an error about a malformed message.
func bad(format string, args ...any) error { return fmt.Errorf("malformed message: "+format, args...) }

// Parse parses a line.
func Parse(line []byte) (m Message, err error) {
	if !gjson.ValidBytes(line) { // gjson's getters take garbage
		return m, bad("not JSON")
	}
	root := gjson.ParseBytes(line)
	m = Message{Kind: Kind(root.Get("kind").String()), ID: root.Get("id").Int(), Verb: root.Get("verb").String(),
		Name: root.Get("name").String(), AtMs: root.Get("at_ms").Int()}
	switch m.Kind {
	case Hello, CallDone:
	case CallMade:
		if m.Verb == "" || m.AtMs <= 0 || m.AtMs > time.Now().Add(time.Hour).UnixMilli() {
			return m, bad("a call lacks its verb or time")
		}
	case StateSent:
		m.State, err = parseState(root.Get("state"))
	default:
		err = bad("kind %.20q", m.Kind)
	}
	return m, err
}

// parseState parses and checks a state.
// parseState parses and checks a state.
func parseState(root gjson.Result) (*State, error) {
	hosts, banned, attached, drain, records := root.Get("hosts"), root.Get("banned"), root.Get("attached"), root.Get("drain"), root.Get("records")
	if !hosts.IsObject() || !drain.IsBool() || !banned.IsArray() || !attached.IsObject() || !records.IsArray() {
		return nil, bad("the state lacks hosts, banned, attached, drain or records")
	}
	s := &State{Hosts: json.RawMessage(hosts.Raw), Drain: drain.Bool(), Banned: []string{}, Attached: map[string]int64{},
		PerSecond: root.Get("per_second").Num}
	if s.PerSecond < 0 || s.PerSecond > maxPerSecond {
		return nil, bad("per_second is out of range")
	}
	for _, name := range banned.Array() {
		s.Banned = append(s.Banned, name.String())
	}
	for name, at := range attached.Map() {
		s.Attached[name] = at.Int()
	}
	var err error
	records.ForEach(func(_, r gjson.Result) bool {
		x := Record{Name: r.Get("name").String(), Latency: r.Get("latency").Num, Failing: r.Get("failing").Num,
			Cap: r.Get("cap").Num, SlowStartMs: r.Get("cold_ms").Int()}
		for _, n := range r.Get("answers").Array() {
			if n.Num < 0 {
				err = bad("a record below 0")
			}
			x.Answers = append(x.Answers, n.Num)
		}
		if x.Name == "" || x.Latency < 0 || x.Failing < 0 || x.Failing > 1 {
			err = bad("a record without a name, or out of range")
		}
		s.Records = append(s.Records, x)
		return err == nil
	})
	return s, err
}

var errTooLong = errors.New("malformed message: the line is too long")
