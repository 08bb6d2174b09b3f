// Package mem holds the daemon's tables in memory: the in-flight table, the server list, the connection pools and the
// buffer pool. All are bounded, and none outlives the process.
package mem

import "sync"

// BufferSize is the size in bytes of the pooled buffers: the largest body and the longest line of a frame.
const BufferSize = 64<<10 + 4<<10

var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// GetBuffer takes a buffer from the pool.
func GetBuffer() *[BufferSize]byte { return buffers.Get().(*[BufferSize]byte) }

// PutBuffer returns a buffer to the pool. The caller must not use it any more.
func PutBuffer(b *[BufferSize]byte) { buffers.Put(b) }
