package rpc

import (
	"context"
	"net"
	"time"
)

// dialHedgeDelay is the time between concurrent attempts to connect. The kernel retransmits a lost SYN only after a
// second, but a machine that had lost power or was partitioned may be reachable again much sooner.
const dialHedgeDelay = 150 * time.Millisecond

// DialFunc opens a connection to an address (ip:port).
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// defaultDial opens the connections of clients created by NewClient.
var defaultDial DialFunc = dialTCP

// SetDefaultDialer sets the function by which clients created later connect. Tests of whole processes use it to route
// connections through a relay. It must not run at the same
// time as NewClient, so it is called before any role starts.
func SetDefaultDialer(dial DialFunc) { defaultDial = dial }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialHedged(ctx, address, dialOnce)
}

func dialOnce(ctx context.Context, address string) (net.Conn, error) {
	// KeepAlive is disabled here because setSocketOptions configures the keep-alive probes.
	connection, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp4", address)
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

// dialHedged starts an attempt to connect every dialHedgeDelay until the first attempt completes or ctx ends. It returns
// the result of the attempt that completes first, even if it failed. The others are cancelled and their connections closed.
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
