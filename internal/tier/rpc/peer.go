package rpc

import (
	"context"
	"sync"
	"time"
)

// peer holds the connection to one address. At most one dial runs at a time; each caller waits for it until the
// caller's own context ends.
type peer struct {
	client  *Client
	address string
	usedAt  time.Time // guarded by the client's mutex

	mu           sync.Mutex
	closed       bool
	current      *clientConnection
	dialing      *dialAttempt
	backoffUntil time.Time // calls fail without dialing until then; set after a failed dial
}

// dialAttempt is one attempt to connect.
type dialAttempt struct {
	done       chan struct{}
	connection *clientConnection // set before done is closed; nil if the dial failed
}

// connection returns the open connection, or waits for a dial to complete.
func (p *peer) connection(ctx context.Context) (*clientConnection, error) {
	connection, attempt, err := p.currentOrDial()
	if connection != nil || err != nil {
		return connection, err
	}
	select {
	case <-attempt.done:
	case <-ctx.Done():
		return nil, ErrTimeout
	}
	if attempt.connection == nil {
		return nil, ErrUnreachable
	}
	return attempt.connection, nil
}

// currentOrDial returns the open connection or, if there is none, the dial in progress, starting one if needed.
func (p *peer) currentOrDial() (*clientConnection, *dialAttempt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, ErrUnreachable
	case p.current != nil && !p.current.isBroken():
		return p.current, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	case p.client.now().Before(p.backoffUntil):
		return nil, nil, ErrUnreachable
	}
	p.current = nil
	p.dialing = &dialAttempt{done: make(chan struct{})}
	go p.dial(p.dialing)
	return nil, p.dialing, nil
}

func (p *peer) dial(attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.client.counters.dials.Add(1)
	connection, err := p.client.dial(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(attempt.done)
	p.dialing = nil
	if err != nil {
		p.backoffUntil = p.client.now().Add(dialBackoff)
		return
	}
	if p.closed {
		_ = connection.Close()
		return
	}
	p.current = newClientConnection(connection, p.client)
	attempt.connection = p.current
	go p.current.readReplies()
}

// isBusy reports whether calls are waiting for replies or for a connection.
func (p *peer) isBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialing != nil || p.current != nil && p.current.isBusy()
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.current != nil {
		p.current.fail()
	}
}
