package rpc

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// frameWriter writes whole frames to a connection, one write for each. A peer that does not read holds a caller no
// longer than the caller's context: the rest of a frame is then written on behind it, within writeTimeout.
type frameWriter struct {
	connection net.Conn
	turn       chan struct{} // holds one token while a frame is being written
	broken     bool          // a frame was cut: nothing may follow it; the owner of the turn alone uses it
}

func newFrameWriter(connection net.Conn) *frameWriter {
	return &frameWriter{connection: connection, turn: make(chan struct{}, 1)}
}

// write sends a frame and releases its buffer. After ErrTimeout the frame may still arrive whole, or not at all; after
// any other error the connection is of no more use.
func (w *frameWriter) write(ctx context.Context, encoded []byte) error {
	select {
	case w.turn <- struct{}{}:
	default:
		if err := w.await(ctx); err != nil {
			release(encoded)
			return err
		}
	}
	switch {
	case w.broken:
		w.end(encoded)
		return ErrUnreachable
	case ctx.Err() != nil:
		w.end(encoded)
		return ErrTimeout
	}
	deadline, limited := writeDeadline(ctx)
	written, err := w.attempt(deadline, encoded)
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case err == nil:
		w.end(encoded)
		return nil
	case !expired || !limited: // or the peer read too little for all of writeTimeout
		w.spoil()
		w.end(encoded)
		return ErrUnreachable
	case written == 0:
		w.end(encoded)
		return ErrTimeout
	}
	go w.finish(encoded, written)
	return ErrTimeout
}

// spoil ends the connection while the turn is still held: the peer would take the next frame for the rest of one that
// was cut.
func (w *frameWriter) spoil() {
	w.broken = true
	_ = w.connection.Close()
}

func (w *frameWriter) await(ctx context.Context) error {
	select {
	case w.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrTimeout
	}
}

// writeDeadline says until when a write may take, and whether that is the context's own limit.
func writeDeadline(ctx context.Context) (deadline time.Time, limited bool) {
	deadline = time.Now().Add(writeTimeout)
	if ends, ok := ctx.Deadline(); ok && ends.Before(deadline) {
		return ends, true
	}
	return deadline, false
}

func (w *frameWriter) attempt(deadline time.Time, encoded []byte) (int, error) {
	_ = w.connection.SetWriteDeadline(deadline)
	written, err := w.connection.Write(encoded)
	_ = w.connection.SetWriteDeadline(time.Time{}) // no timer is left to wake the process
	return written, err
}

// finish writes the rest of a frame; a peer that still does not read loses the connection.
func (w *frameWriter) finish(encoded []byte, written int) {
	_ = w.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.connection.Write(encoded[written:])
	_ = w.connection.SetWriteDeadline(time.Time{})
	if err != nil {
		w.spoil()
	}
	w.end(encoded)
}

func (w *frameWriter) end(encoded []byte) {
	release(encoded)
	<-w.turn
}
