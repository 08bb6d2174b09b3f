// Package mem holds what the daemon keeps in memory: the in-flight tables, the server list, the
// connection pools and the buffer pool. All of it is bounded and none of it outlives the process.
package mem

import "sync"

// BufferSize is the one size of the pooled buffers: the largest body, and room for a frame's line.
const BufferSize = 64<<10 + 4<<10

var buffers = sync.Pool{New: func() any { return new([BufferSize]byte) }}

// GetBuffer takes a buffer from the pool.
func GetBuffer() *[BufferSize]byte { return buffers.Get().(*[BufferSize]byte) }

// PutBuffer gives a buffer back. Nothing may refer to it any more.
func PutBuffer(b *[BufferSize]byte) { buffers.Put(b) }
