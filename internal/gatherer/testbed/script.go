// Package testbed has fakes of the gatherer's peers, for tests and the example: lot stores that speak frames or the
// OpenSearch-style API by one script, and a discovery agent.
package testbed

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// End is how a lot store ends an attempt.
type End string

// The ends. Reset breaks the connection; NoAnswer never answers.
const (
	Hit      End = "hit"
	Fault    End = "fault"
	Overload End = "overload"
	Reset    End = "reset"
	NoAnswer End = "silent"
)

// Script says how attempts end and records them. Many stores may share it.
type Script struct {
	// Fetch is how many shards a second step goes to; an attempt of it at any other ends as Fault.
	Fetch int
	// Scores returns the score of an answer by shard; nil for Score.
	Scores func(shard int) string

	mu       sync.Mutex
	ends     map[int][]End // by shard: of its next attempts; Hit once these are used up
	attempts map[int]int
	texts    map[int]string
	loads    []string // shards, with the lists of attempts of the second step
}

// Score is the score of an answer of a shard: unordered, so that a mix-up shows.
func Score(shard int) int { return (shard*7919 + 13) % 1009 }

// score is the score of an answer as text.
func (s *Script) score(shard int) string {
	if s.Scores != nil {
		return s.Scores(shard)
	}
	return fmt.Sprint(Score(shard))
}

// LoadEnd records an attempt of a second step, and says how it ends: Fault for a shard that is not among the best of those
// that were answered, or where the list does not say which were.
func (s *Script) LoadEnd(shard int, list string) End {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = append(s.loads, fmt.Sprintf("%d %s", shard, list))
	in, better, complete := false, 0, false
	for _, field := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "whole":
			complete = value == "0" || value == "1"
		case "from":
			for _, x := range strings.Split(value, "+") {
				n, err := strconv.Atoi(x)
				if err != nil {
					return Fault
				}
				in = in || n == shard
				if Score(n) > Score(shard) {
					better++
				}
			}
		}
	}
	if !in || !complete || better >= s.Fetch {
		return Fault
	}
	return Hit
}

// Loads returns the attempts of second steps, as SHARD LIST.
func (s *Script) Loads() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loads)
}

// Set clears the recorded attempts and sets the ends of the next ones.
func (s *Script) Set(ends map[int][]End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends, s.attempts, s.texts = map[int][]End{}, map[int]int{}, map[int]string{}
	for shard, e := range ends {
		s.ends[shard] = append([]End(nil), e...)
	}
}

// Next records an attempt and says how it ends.
func (s *Script) Next(shard int, text string) End {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts, s.texts = map[int]int{}, map[int]string{}
	}
	s.attempts[shard]++
	s.texts[shard] = text
	if e := s.ends[shard]; len(e) > 0 {
		s.ends[shard] = e[1:]
		return e[0]
	}
	return Hit
}

// Attempts returns the number of attempts by shard.
func (s *Script) Attempts() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[int]int{}
	for k, v := range s.attempts {
		c[k] = v
	}
	return c
}

// Value is the answer of a store for a shard.
func Value(shard int) string { return fmt.Sprintf("value-%d", shard) }

// LoadValue is the answer of a store for a shard in a second step.
func LoadValue(shard int) string { return fmt.Sprintf("load-%d", shard) }

// Cleaner is the part of testing.TB that the fakes use.
type Cleaner interface {
	Cleanup(func())
	Fatal(...any)
}

// Listen opens a listener on loopback that is closed with the test.
func Listen(t Cleaner) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Pair connects to a listener on loopback and returns both sides. They are closed with the test.
func Pair(t Cleaner, l net.Listener) (here, there *net.TCPConn) {
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// Host is an entry of a server list.
func Host(name, addr, site string, cell int, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"small-2c","block":%d,"health":%q,"share":1.0,"born_ms":0}`,
		name, addr, site, cell, health)
}

// List is a full server list.
func List(seq int, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}
