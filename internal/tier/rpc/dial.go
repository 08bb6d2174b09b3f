package rpc

import (
	"context"
	"net"
	"time"
)

// redialAfter is how long an attempt to connect may take before another one begins beside it. An opening packet that a dark
// machine lost is sent again after a second only; the machine may be back long before.
const redialAfter = 150 * time.Millisecond

// dialed is the end of one attempt to connect.
type dialed struct {
	connection net.Conn
	err        error
}

// dialRepeatedly begins an attempt to connect every redialAfter until one has ended or ctx has. Attempts that were begun and
// are not needed are given up.
func dialRepeatedly(ctx context.Context, address string, dial DialFunc) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan dialed)
	attempt := func() {
		connection, err := dial(ctx, address)
		select {
		case attempts <- dialed{connection, err}:
		case <-ctx.Done():
			if err == nil {
				_ = connection.Close()
			}
		}
	}
	next := time.NewTicker(redialAfter)
	defer next.Stop()
	go attempt()
	for {
		select {
		case first := <-attempts:
			return first.connection, first.err
		case <-next.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
