// Package admin serves operators' calls: a connection carries one line, and one line is returned that starts with 200 or
// 400.
package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// Verb is the kind of a call.
type Verb string

// The verbs. Detach and Attach take the name of a lot store.
const (
	Ping     Verb = "PING"
	Detach   Verb = "DETACH"
	Attach   Verb = "ATTACH"
	LameDuck Verb = "LAMEDUCK"
	Rejoin   Verb = "REJOIN"
)

// Call is one call of an operator.
type Call struct {
	Verb Verb
	Name string // of the lot store, where the verb takes one
}

// Handler carries out a call and returns the text of the answer, or an error, which is answered with 400. It must be quick.
type Handler func(Call) (string, error)

// Bounds of a caller.
const (
	maxLine      = 256
	maxConns     = 12              // callers at once; one more closes the one that has waited longest
	readTimeout  = 5 * time.Second // for the complete line
	writeTimeout = time.Second
)

var errNoNewline = errors.New("the line does not end")

// readLine reads the line of a call. Without a newline it is an error.
func readLine(r io.Reader) (string, error) {
	line, err := bufio.NewReaderSize(r, maxLine).ReadSlice('\n')
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNoNewline, err)
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

// Parse parses a call.
func Parse(line string) (Call, error) {
	words := strings.Split(line, " ")
	c := Call{Verb: Verb(words[0])}
	switch c.Verb {
	case Ping, LameDuck, Rejoin:
		if len(words) != 1 {
			return c, fmt.Errorf("%s takes nothing behind it", c.Verb)
		}
		return c, nil
	case Detach, Attach:
		if len(words) != 2 || !http1.IsName(words[1]) {
			return c, fmt.Errorf("%s takes the name of one lot store", c.Verb)
		}
		c.Name = words[1]
		return c, nil
	}
	return c, fmt.Errorf("unknown call %.40q", words[0])
}

// Server serves calls on one listener.
type Server struct {
	listener net.Listener
	handle   Handler

	mu    sync.Mutex
	conns []net.Conn // whose line has not been received, the longest waiting first
}

// New returns a server on a listener.
func New(l net.Listener, h Handler) *Server { return &Server{listener: l, handle: h} }

// Serve serves until the listener is closed.
func (s *Server) Serve() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors: callers that send nothing hold some
			s.closeOldest(0)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.closeOldest(maxConns - 1)
		s.mu.Lock()
		s.conns = append(s.conns, nc)
		s.mu.Unlock()
		go s.serve(nc)
	}
}

// closeOldest closes the longest waiting callers until so many remain: those that send nothing must block nobody.
func (s *Server) closeOldest(remain int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > remain {
		s.conns[0].Close()
		s.conns = s.conns[1:]
	}
}

// serve serves one caller.
// serve serves one caller.
func (s *Server) serve(nc net.Conn) {
	defer nc.Close()
	nc.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := readLine(nc)
	s.mu.Lock()
	for i, c := range s.conns {
		if c == nc {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if errors.Is(err, errNoNewline) && !errors.Is(err, bufio.ErrBufferFull) {
		return // a partial call does nothing
	}
	nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil {
		reply(nc, "400 the line is over %d bytes\n", maxLine)
		return
	}
	c, err := Parse(line)
	text := ""
	if err == nil {
		text, err = s.handle(c)
	}
	if err != nil {
		reply(nc, "400 %s\n", err)
		return
	}
	reply(nc, "200 %s\n", text)
}

// reply writes the answer to a call. A caller that has gone does not read it, and the connection is closed anyway.
func reply(nc net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(nc, format, args...) }
