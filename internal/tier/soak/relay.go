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

// connected is the byte by which the relay reports that the far end accepted the connection.
const connected = 'K'

// relayBuffer is the size in bytes of each read.
const relayBuffer = 32 << 10

// Relay forwards the connections between the tier's processes, so that links can be partitioned without the privileges to
// change the network. Links are directed and named by the addresses of machines.
type Relay struct {
	listener net.Listener

	mu             sync.Mutex
	changed        chan struct{} // closed and replaced at each change of a link
	blocked        map[link]int  // number of partitions in force
	delayed        map[link]time.Duration
	dropping       map[string]int // machines whose replies are dropped
	open           map[*relayedConnection]struct{}
	droppedReplies int // replies truncated so far
	blockedReads   int // times that bytes waited for the end of a partition
}

// link is the direction from one machine to another.
type link struct{ from, to string }

// relayedConnection is a connection that the relay forwards.
type relayedConnection struct {
	link      link
	near, far net.Conn
}

// NewRelay starts a relay that listens at an address.
func NewRelay(address string) (*Relay, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	relay := &Relay{
		listener: listener, changed: make(chan struct{}), blocked: make(map[link]int),
		delayed: make(map[link]time.Duration), dropping: make(map[string]int), open: make(map[*relayedConnection]struct{}),
	}
	go relay.serve()
	return relay, nil
}

// Dialer returns the dial function of a process on the machine with address self. Connections to the same machine are
// direct.
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

// request requests a connection from the relay and waits until the far end has accepted it.
func request(ctx context.Context, connection net.Conn, self, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = connection.SetDeadline(deadline)
	}
	if _, err := fmt.Fprintf(connection, "%s %s\n", self, address); err != nil {
		return err
	}
	accepted := make([]byte, 1)
	if _, err := connection.Read(accepted); err != nil {
		return err
	}
	return connection.SetDeadline(time.Time{})
}

// Close closes the relay and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset("")
}

// Block blocks one direction between two machines until the returned function is called. No bytes are lost: they are
// delivered late, as TCP retransmits after a partition.
func (r *Relay) Block(from, to string) (release func()) {
	way := link{from, to}
	r.change(func() { r.blocked[way]++ })
	return sync.OnceFunc(func() { r.change(func() { r.blocked[way]-- }) })
}

// Delay delays one direction between two machines until the returned function is called.
func (r *Relay) Delay(from, to string, by time.Duration) (release func()) {
	way := link{from, to}
	r.change(func() { r.delayed[way] = by })
	return sync.OnceFunc(func() { r.change(func() { delete(r.delayed, way) }) })
}

// DropReplies resets every connection to a machine in the middle of its next reply, until the returned function is called.
func (r *Relay) DropReplies(to string) (release func()) {
	r.change(func() { r.dropping[to]++ })
	return sync.OnceFunc(func() { r.change(func() { r.dropping[to]-- }) })
}

// Reset resets the connections of a machine, or all connections for the empty string, and returns their number.
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

// Counts returns how many replies were truncated, and how often bytes waited for the end of a partition.
func (r *Relay) Counts() (droppedReplies, blockedReads int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedReplies, r.blockedReads
}

// change applies a change of links and wakes up all that wait for one.
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
		go r.forward(near)
	}
}

// forward serves one connection to the relay.
func (r *Relay) forward(near net.Conn) {
	reader := bufio.NewReader(near)
	line, err := reader.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) != 2 {
		_ = near.Close()
		return
	}
	host, _, _ := net.SplitHostPort(words[1])
	way := link{words[0], host}
	r.awaitUnblocked(way)
	far, err := net.DialTimeout("tcp4", words[1], time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	r.awaitUnblocked(link{way.to, way.from})
	connection := &relayedConnection{link: way, near: near, far: far}
	r.mu.Lock()
	r.open[connection] = struct{}{}
	r.mu.Unlock()
	if _, err := near.Write([]byte{connected}); err != nil {
		connection.reset()
	}
	go r.pump(connection, far, reader, way, false)
	r.pump(connection, near, far, link{way.to, way.from}, true)
	r.mu.Lock()
	delete(r.open, connection)
	r.mu.Unlock()
}

// awaitUnblocked returns when a link is not blocked, after its delay.
func (r *Relay) awaitUnblocked(way link) {
	counted := false
	for {
		r.mu.Lock()
		blocked, changed, delay := r.blocked[way] > 0, r.changed, r.delayed[way]
		if blocked && !counted {
			counted = true
			r.blockedReads++
		}
		r.mu.Unlock()
		if !blocked {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// pump forwards bytes in one direction until either end closes. The close is forwarded after the end of a partition.
func (r *Relay) pump(connection *relayedConnection, to net.Conn, from interface{ Read([]byte) (int, error) }, way link, replies bool) {
	defer connection.close()
	buffer := make([]byte, relayBuffer)
	for {
		read, err := from.Read(buffer)
		r.awaitUnblocked(way)
		if replies && read > 0 && r.dropsReply(way.from) {
			_, _ = to.Write(buffer[:read/2])
			connection.reset()
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

func (r *Relay) dropsReply(machine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropping[machine] == 0 {
		return false
	}
	r.droppedReplies++
	return true
}

func (c *relayedConnection) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}

// reset resets both ends, so that bytes in flight are lost.
func (c *relayedConnection) reset() {
	for _, end := range []net.Conn{c.near, c.far} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}
