// Package standin has small stand-ins for the gatherer's peers, for tests and the example: lot stores that
// speak frames or the OpenSearch-style API by one script, and a discovery agent.
package standin

import (
	"fmt"
	"net"
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
	mu       sync.Mutex
	ends     map[int][]End // by shard: what its next attempts get; Hit once these are used up
	attempts map[int]int
	texts    map[int]string
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

// Value is what a store answers for a shard.
func Value(shard int) string { return fmt.Sprintf("value-%d", shard) }

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

// Host is a line of the list.
func Host(name, addr, site string, cell int, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":%q,"class":"small-2c","block":%d,"health":%q,"share":1.0,"born_ms":0}`,
		name, addr, site, cell, health)
}

// List is a whole list.
func List(seq int, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[%s]}`, seq, strings.Join(hosts, ","))
}
