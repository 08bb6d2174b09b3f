// Package mem holds the daemon's in-memory tables: the in-flight table, the server list, the connection pools and the
// buffer pool. All are bounded in size and lost when the process ends.
package mem

import "sync"

// BufferSize is the size in bytes of a pooled buffer. It holds the largest body, 64 KiB, and the longest line of a
// frame, 4 KiB.
const BufferSize = 64<<10 + 4<<10

var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// GetBuffer takes a buffer from the pool.
func GetBuffer() *[BufferSize]byte { return buffers.Get().(*[BufferSize]byte) }

// PutBuffer returns a buffer to the pool. The caller must not use it afterwards.
func PutBuffer(b *[BufferSize]byte) { buffers.Put(b) }
