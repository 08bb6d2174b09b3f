package handover

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Time-outs of a link. An operator's call must be answered within 1 s.
const (
	startTimeout = time.Second            // for hello, and for the state
	callTimeout  = 500 * time.Millisecond // for the other side to carry out a call
	writeTimeout = 300 * time.Millisecond
)

// Link is the connection to the other process.
type Link struct {
	nc net.Conn
	r  *bufio.Reader

	wmu sync.Mutex // one message at a time; the state is sent before any call

	mu      sync.Mutex
	lastID  int64
	pending map[int64]chan struct{}
	closed  chan struct{}
}

func newLink(nc net.Conn) *Link {
	return &Link{nc: nc, r: bufio.NewReaderSize(nc, 64<<10), pending: map[int64]chan struct{}{}, closed: make(chan struct{})}
}

// Listen listens on the socket at the path, and replaces that of another process.
func Listen(path string) (net.Listener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(own) // left by a killed process with the same id, if any
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // the path may be a successor's by then
	if err = os.Chmod(own, 0o600); err == nil {
		err = os.Rename(own, path)
	}
	if err != nil {
		_ = l.Close() // the error of the rename is returned
		_ = os.Remove(own)
		return nil, err
	}
	return l, nil
}

// Connect is the successor's side: it sends hello to the process that listens at the path, and returns its state.
func Connect(path string) (*Link, *State, error) {
	nc, err := net.DialTimeout("unix", path, startTimeout)
	if err != nil {
		return nil, nil, err
	}
	x := newLink(nc)
	nc.SetDeadline(time.Now().Add(startTimeout))
	m := Message{}
	if _, err = nc.Write(Message{Kind: Hello}.Append(nil)); err == nil {
		m, err = x.read()
	}
	if err == nil && m.Kind != StateSent {
		err = bad("%s in place of the state", m.Kind)
	}
	if err != nil {
		nc.Close()
		return nil, nil, err
	}
	nc.SetDeadline(time.Time{})
	return x, m.State, nil
}

// Accept is the old process's side of a connection: it waits for hello, passes the link to up, so that every call from then
// on is sent over it, and sends the state as it is then.
func Accept(nc net.Conn, up func(*Link), state func() State) (*Link, error) {
	x := newLink(nc)
	nc.SetReadDeadline(time.Now().Add(startTimeout))
	m, err := x.read()
	if err == nil && m.Kind != Hello {
		err = bad("%s in place of hello", m.Kind)
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetReadDeadline(time.Time{})
	x.wmu.Lock()
	defer x.wmu.Unlock()
	up(x)
	s := state()
	nc.SetWriteDeadline(time.Now().Add(startTimeout))
	if _, err := nc.Write(Message{Kind: StateSent, State: &s}.Append(nil)); err != nil {
		x.Close()
		return x, err
	}
	return x, nil
}

// read reads the next message.
// read reads the next message.
func (x *Link) read() (Message, error) {
	var line []byte
	for {
		piece, err := x.r.ReadSlice('\n')
		line = append(line, piece...)
		switch {
		case len(line) > maxMessage:
			return Message{}, errTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return Message{}, err
		}
		return Parse(line[:len(line)-1])
	}
}

// write writes a message.
// write writes a message.
func (x *Link) write(m Message) error {
	x.wmu.Lock()
	defer x.wmu.Unlock()
	x.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := x.nc.Write(m.Append(nil))
	return err
}

// Serve carries out the other side's calls until the link ends, and returns why it did.
func (x *Link) Serve(do func(Message)) error {
	defer x.Close()
	for {
		m, err := x.read()
		if err != nil {
			return err
		}
		switch m.Kind {
		case CallMade:
			do(m)
			if err := x.write(Message{Kind: CallDone, ID: m.ID}); err != nil {
				return err
			}
		case CallDone:
			x.mu.Lock()
			if done := x.pending[m.ID]; done != nil {
				close(done)
				delete(x.pending, m.ID)
			}
			x.mu.Unlock()
		default:
			return bad("%s on a link that is up", m.Kind)
		}
	}
}

// Call makes the other side carry out a call, and returns when it has. If it does not in time, the link is closed.
func (x *Link) Call(m Message) error {
	done := make(chan struct{})
	x.mu.Lock()
	x.lastID++
	m.Kind, m.ID = CallMade, x.lastID
	x.pending[m.ID] = done
	x.mu.Unlock()
	err := x.write(m)
	if err == nil {
		t := time.NewTimer(callTimeout)
		defer t.Stop()
		select {
		case <-done:
			return nil
		case <-x.closed:
			err = net.ErrClosed
		case <-t.C:
			err = os.ErrDeadlineExceeded
		}
	}
	x.Close()
	return err
}

// Close closes the link.
func (x *Link) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.closed:
	default:
		close(x.closed)
		x.nc.Close()
	}
}
