package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// connected is the byte by which the relay tells that the far end took the connection.
const connected = 'K'

const relayBuffer = 32 << 10

// Relay leads the connections between the tier's processes, so that links can be cut without the rights to change the
// network. Links are directed and named by the addresses of machines.
type Relay struct {
	listener net.Listener

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change of a link
	blocked map[link]int  // cuts in force
	delayed map[link]time.Duration
	losing  map[string]int // machines whose replies are lost
	open    map[*relayed]struct{}
	lost    int // replies cut off so far
	held    int // times that bytes waited for a cut to end
}

// link is the way from one machine to another.
type link struct{ from, to string }

// relayed is one connection that is led on.
type relayed struct {
	link      link
	near, far net.Conn
}

// NewRelay listens at an address.
func NewRelay(address string) (*Relay, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	relay := &Relay{
		listener: listener, changed: make(chan struct{}), blocked: make(map[link]int),
		delayed: make(map[link]time.Duration), losing: make(map[string]int), open: make(map[*relayed]struct{}),
	}
	go relay.serve()
	return relay, nil
}

// Dialer makes the dial function of a process on the machine with this address.
func Dialer(relay, self string) rpc.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialer := net.Dialer{KeepAlive: -1}
		if host, _, _ := net.SplitHostPort(address); host == self {
			return dialer.DialContext(ctx, "tcp4", address)
		}
		connection, err := dialer.DialContext(ctx, "tcp4", relay)
		if err != nil {
			return nil, err
		}
		if err := request(ctx, connection, self, address); err != nil {
			_ = connection.Close()
			return nil, err
		}
		return connection, nil
	}
}

// request asks the relay for a connection and waits until the far end has taken it.
func request(ctx context.Context, connection net.Conn, self, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = connection.SetDeadline(deadline)
	}
	if _, err := fmt.Fprintf(connection, "%s %s\n", self, address); err != nil {
		return err
	}
	told := make([]byte, 1)
	if _, err := connection.Read(told); err != nil {
		return err
	}
	return connection.SetDeadline(time.Time{})
}

// Close ends the relay and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset("")
}

// Block holds what goes one way between two machines until the returned function is called. Nothing is lost by it: what
// was held goes on then, late.
func (r *Relay) Block(from, to string) (release func()) {
	way := link{from, to}
	r.change(func() { r.blocked[way]++ })
	return sync.OnceFunc(func() { r.change(func() { r.blocked[way]-- }) })
}

// Delay slows what goes one way between two machines.
func (r *Relay) Delay(from, to string, by time.Duration) (release func()) {
	way := link{from, to}
	r.change(func() { r.delayed[way] = by })
	return sync.OnceFunc(func() { r.change(func() { delete(r.delayed, way) }) })
}

// LoseReplies has every connection to a machine end in the middle of the next reply.
func (r *Relay) LoseReplies(to string) (release func()) {
	r.change(func() { r.losing[to]++ })
	return sync.OnceFunc(func() { r.change(func() { r.losing[to]-- }) })
}

// Reset ends the connections of a machine, or all of them.
func (r *Relay) Reset(machine string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := 0
	for connection := range r.open {
		if machine == "" || connection.link.from == machine || connection.link.to == machine {
			connection.reset()
			ended++
		}
	}
	return ended
}

// Counts tells how many replies were cut off and how often bytes waited for a cut to end.
func (r *Relay) Counts() (lost, held int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost, r.held
}

func (r *Relay) change(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.lead(near)
	}
}

func (r *Relay) lead(near net.Conn) {
	reader := bufio.NewReader(near)
	line, err := reader.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) != 2 {
		_ = near.Close()
		return
	}
	host, _, _ := net.SplitHostPort(words[1])
	way := link{words[0], host}
	r.await(way)
	far, err := net.DialTimeout("tcp4", words[1], time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	r.await(link{way.to, way.from})
	led := &relayed{link: way, near: near, far: far}
	r.mu.Lock()
	r.open[led] = struct{}{}
	r.mu.Unlock()
	if _, err := near.Write([]byte{connected}); err != nil {
		led.reset()
	}
	go r.pump(led, far, reader, way, false)
	r.pump(led, near, far, link{way.to, way.from}, true)
	r.mu.Lock()
	delete(r.open, led)
	r.mu.Unlock()
}

// await returns when a link is not blocked, and says whether it was.
func (r *Relay) await(way link) {
	counted := false
	for {
		r.mu.Lock()
		blocked, changed, delay := r.blocked[way] > 0, r.changed, r.delayed[way]
		if blocked && !counted {
			counted = true
			r.held++
		}
		r.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// pump passes bytes on one way until either end closes; an end behind a cut is told when the cut is over.
func (r *Relay) pump(led *relayed, to net.Conn, from interface{ Read([]byte) (int, error) }, way link, replies bool) {
	defer led.close()
	buffer := make([]byte, relayBuffer)
	for {
		read, err := from.Read(buffer)
		r.await(way)
		if replies && read > 0 && r.loses(way.from) {
			_, _ = to.Write(buffer[:read/2])
			led.reset()
			return
		}
		if read > 0 {
			if _, failure := to.Write(buffer[:read]); failure != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) loses(machine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.losing[machine] == 0 {
		return false
	}
	r.lost++
	return true
}

func (c *relayed) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}

// reset ends both ends so that bytes on the way are lost.
func (c *relayed) reset() {
	for _, end := range []net.Conn{c.near, c.far} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}
