// Package standin has small stand-ins for the gatherer's peers, for tests and the example: lot stores that
// speak frames or the OpenSearch-style API by one script, and a discovery agent.
package standin

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// End is how a lot store is to end a part.
type End string

// The ends. Reset breaks the connection; Silent never answers.
const (
	Hit      End = "hit"
	Fault    End = "fault"
	Overload End = "overload"
	Reset    End = "reset"
	Silent   End = "silent"
)

// Script says how parts end and remembers what was asked. It may serve many stores.
type Script struct {
	// Fetch is how many shards a second step goes to; a part of it for any other ends as Fault.
	Fetch int
	// Scores gives an answer's score by shard; nil for Score's.
	Scores func(shard int) string

	mu       sync.Mutex
	ends     map[int][]End // by shard: what its next attempts get; Hit once these are used up
	attempts map[int]int
	texts    map[int]string
	loads    []string // shards, with the lists of the second step's parts
}

// Score is what an answer of a shard scores: in no order of the shards, so that a mix-up shows.
func Score(shard int) int { return (shard*7919 + 13) % 1009 }

func (s *Script) score(shard int) string {
	if s.Scores != nil {
		return s.Scores(shard)
	}
	return fmt.Sprint(Score(shard))
}

// Load notes a part of a second step, and says how it ends: Fault for a shard that is not among the best of those that
// were in, or where the list does not say which were.
func (s *Script) Load(shard int, list string) End {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = append(s.loads, fmt.Sprintf("%d %s", shard, list))
	in, better, whole := false, 0, false
	for _, field := range strings.Split(list, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "whole":
			whole = value == "0" || value == "1"
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
	if !in || !whole || better >= s.Fetch {
		return Fault
	}
	return Hit
}

// Loads lists the parts of second steps that came, as SHARD LIST.
func (s *Script) Loads() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loads)
}

// Set makes the script forget what was asked and gives it the ends to come.
func (s *Script) Set(ends map[int][]End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends, s.attempts, s.texts = map[int][]End{}, map[int]int{}, map[int]string{}
	for shard, e := range ends {
		s.ends[shard] = append([]End(nil), e...)
	}
}

// Next notes an attempt and says how it ends.
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

// Attempts tells how many attempts each shard has had.
func (s *Script) Attempts() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[int]int{}
	for k, v := range s.attempts {
		c[k] = v
	}
	return c
}

// Value is what a store answers for a shard, and LoadValue in a second step.
func Value(shard int) string { return fmt.Sprintf("value-%d", shard) }

// LoadValue is what a store answers for a shard in a second step.
func LoadValue(shard int) string { return fmt.Sprintf("load-%d", shard) }

// Cleaner is what a stand-in needs of a test.
type Cleaner interface {
	Cleanup(func())
	Fatal(...any)
}

// Listen opens a loopback listener that closes with the test.
func Listen(t Cleaner) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Pair connects to a listener on loopback, and gives both sides. They close with the test.
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

// Host is a line of the list.
func Host(name, addr, site string, cell int, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"small-2c","block":%d,"health":%q,"share":1.0,"born_ms":0}`,
		name, addr, site, cell, health)
}

// List is a whole list.
func List(seq int, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}
