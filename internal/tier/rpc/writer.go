package rpc

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// frameWriter writes whole frames to a connection, each by one call of Write. A peer that does not read blocks a caller no
// longer than the caller's context allows: the rest of a partially written frame is then written in the background, within
// writeTimeout.
type frameWriter struct {
	connection net.Conn
	lock       chan struct{} // mutex, held while a frame is written; a channel, so that waiting for it can end with a context
	broken     bool          // a frame may have been truncated, so no other may follow it; guarded by lock
}

func newFrameWriter(connection net.Conn) *frameWriter {
	return &frameWriter{connection: connection, lock: make(chan struct{}, 1)}
}

// write writes a frame and releases its buffer. After ErrTimeout either the whole frame or no part of it reaches the peer,
// unless the connection breaks. After any other error the connection is closed.
func (w *frameWriter) write(ctx context.Context, encoded []byte) error {
	select {
	case w.lock <- struct{}{}:
	default:
		if err := w.acquire(ctx); err != nil {
			releaseBuffer(encoded)
			return err
		}
	}
	switch {
	case w.broken:
		w.releaseBufferAndLock(encoded)
		return ErrUnreachable
	case ctx.Err() != nil:
		w.releaseBufferAndLock(encoded)
		return ErrTimeout
	}
	deadline, fromContext := writeDeadline(ctx)
	written, err := w.writeUntil(deadline, encoded)
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case err == nil:
		w.releaseBufferAndLock(encoded)
		return nil
	case !expired || !fromContext: // the connection failed, or the peer did not read the frame within writeTimeout
		w.breakConnection()
		w.releaseBufferAndLock(encoded)
		return ErrUnreachable
	case written == 0:
		w.releaseBufferAndLock(encoded)
		return ErrTimeout
	}
	go w.writeRest(encoded, written)
	return ErrTimeout
}

// breakConnection closes the connection and prevents further writes. The caller must hold the lock: if another frame
// followed a truncated one, the peer would read it as the rest of that frame.
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

// writeDeadline returns the deadline for writing a frame, and whether it is the context's deadline.
func writeDeadline(ctx context.Context) (deadline time.Time, fromContext bool) {
	deadline = time.Now().Add(writeTimeout)
	if contextDeadline, ok := ctx.Deadline(); ok && contextDeadline.Before(deadline) {
		return contextDeadline, true
	}
	return deadline, false
}

func (w *frameWriter) writeUntil(deadline time.Time, encoded []byte) (int, error) {
	_ = w.connection.SetWriteDeadline(deadline)
	written, err := w.connection.Write(encoded)
	_ = w.connection.SetWriteDeadline(time.Time{}) // stops the deadline's timer, which would wake the process
	return written, err
}

// writeRest writes the rest of a frame. It closes the connection if the peer still does not read.
func (w *frameWriter) writeRest(encoded []byte, written int) {
	if _, err := w.writeUntil(time.Now().Add(writeTimeout), encoded[written:]); err != nil {
		w.breakConnection()
	}
	w.releaseBufferAndLock(encoded)
}

// releaseBufferAndLock returns the buffer to the pool and releases the lock.
func (w *frameWriter) releaseBufferAndLock(encoded []byte) {
	releaseBuffer(encoded)
	<-w.lock
}
