package rpc

import (
	"context"
	"net"
	"time"
)

// dialHedgeDelay is how long an attempt to connect may take before another is started beside it. The kernel resends a
// lost SYN after a second only, but a machine that had no power or was partitioned may be back long before.
const dialHedgeDelay = 150 * time.Millisecond

// DialFunc opens a connection to an address (ip:port).
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// defaultDial is how clients made by NewClient connect.
var defaultDial DialFunc = dialTCP

// SetDefaultDialer makes clients that are created from now on connect by another function. Tests of whole processes use
// it to lead connections through a relay. It must be called before any role runs.
func SetDefaultDialer(dial DialFunc) { defaultDial = dial }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialHedged(ctx, address, dialOnce)
}

func dialOnce(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp4", address) // setSocketOptions sets the probes
	if err != nil {
		return nil, err
	}
	setSocketOptions(connection)
	return connection, nil
}

// dialResult is the result of one attempt to connect.
type dialResult struct {
	connection net.Conn
	err        error
}

// dialHedged starts an attempt to connect every dialHedgeDelay until one has ended or ctx has. It returns the result of
// that one; the other attempts are cancelled and their connections closed.
func dialHedged(ctx context.Context, address string, dial DialFunc) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	attempt := func() {
		connection, err := dial(ctx, address)
		select {
		case results <- dialResult{connection, err}:
		case <-ctx.Done():
			if err == nil {
				_ = connection.Close()
			}
		}
	}
	hedge := time.NewTicker(dialHedgeDelay)
	defer hedge.Stop()
	go attempt()
	for {
		select {
		case first := <-results:
			return first.connection, first.err
		case <-hedge.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
