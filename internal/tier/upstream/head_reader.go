package upstream

import "net"

// maxHeadBytes bounds the head of a response, informational responses included.
const maxHeadBytes = 64 << 10

// headReader reads from the socket of a connection. Between limit and unlimit, while the head of a response is read, it limits
// the number of bytes.
type headReader struct {
	socket    net.Conn
	limited   bool
	remaining int // bytes left of the limit
}

func (r *headReader) limit(bytes int) { r.limited, r.remaining = true, bytes }
func (r *headReader) unlimit()        { r.limited = false }

// readNothing reports whether no byte of the newest response head was read. It requires that the head was limited to
// maxHeadBytes.
func (r *headReader) readNothing() bool { return r.remaining == maxHeadBytes }

// Read reads from the socket.
func (r *headReader) Read(into []byte) (int, error) {
	if !r.limited {
		return r.socket.Read(into)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.socket.Read(into[:min(len(into), r.remaining)])
	r.remaining -= n
	return n, err
}
