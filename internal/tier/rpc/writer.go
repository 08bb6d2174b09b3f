package rpc

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// frameWriter writes whole frames to a connection, each by one call of Write. A peer that does not read holds a caller
// no longer than the caller's context: the rest of a frame is then written in the background, within writeTimeout.
type frameWriter struct {
	connection net.Conn
	lock       chan struct{} // holds a token while a frame is being written: a mutex that can be waited for with a context
	broken     bool          // a frame was truncated, so nothing may follow it; guarded by lock
}

func newFrameWriter(connection net.Conn) *frameWriter {
	return &frameWriter{connection: connection, lock: make(chan struct{}, 1)}
}

// write writes a frame and releases its buffer. After ErrTimeout the frame may still arrive as a whole, or not at all.
// After any other error the connection is broken.
func (w *frameWriter) write(ctx context.Context, encoded []byte) error {
	select {
	case w.lock <- struct{}{}:
	default:
		if err := w.acquire(ctx); err != nil {
			release(encoded)
			return err
		}
	}
	switch {
	case w.broken:
		w.finish(encoded)
		return ErrUnreachable
	case ctx.Err() != nil:
		w.finish(encoded)
		return ErrTimeout
	}
	deadline, ofContext := writeDeadline(ctx)
	written, err := w.writeUntil(deadline, encoded)
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case err == nil:
		w.finish(encoded)
		return nil
	case !expired || !ofContext: // the connection failed, or the peer read too little for all of writeTimeout
		w.breakConnection()
		w.finish(encoded)
		return ErrUnreachable
	case written == 0:
		w.finish(encoded)
		return ErrTimeout
	}
	go w.writeRest(encoded, written)
	return ErrTimeout
}

// breakConnection closes the connection while the lock is still held: the peer would read the next frame as the rest of
// the truncated one.
func (w *frameWriter) breakConnection() {
	w.broken = true
	_ = w.connection.Close()
}

func (w *frameWriter) acquire(ctx context.Context) error {
	select {
	case w.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrTimeout
	}
}

// writeDeadline returns until when a write may take, and whether that is the context's deadline.
func writeDeadline(ctx context.Context) (deadline time.Time, ofContext bool) {
	deadline = time.Now().Add(writeTimeout)
	if ends, ok := ctx.Deadline(); ok && ends.Before(deadline) {
		return ends, true
	}
	return deadline, false
}

func (w *frameWriter) writeUntil(deadline time.Time, encoded []byte) (int, error) {
	_ = w.connection.SetWriteDeadline(deadline)
	written, err := w.connection.Write(encoded)
	_ = w.connection.SetWriteDeadline(time.Time{}) // stops the timer, which would wake the process
	return written, err
}

// writeRest writes the rest of a frame; the connection of a peer that still does not read is closed.
func (w *frameWriter) writeRest(encoded []byte, written int) {
	if _, err := w.writeUntil(time.Now().Add(writeTimeout), encoded[written:]); err != nil {
		w.breakConnection()
	}
	w.finish(encoded)
}

// finish releases the buffer and the lock.
func (w *frameWriter) finish(encoded []byte) {
	release(encoded)
	<-w.lock
}
