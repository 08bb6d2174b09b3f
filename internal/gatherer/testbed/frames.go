package testbed

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// Frames is a lot store that speaks frames. It serves until the listener is closed.
func Frames(l net.Listener, s *Script) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serveFrames(c, s)
		}()
	}
}

// Frame encodes a frame.
func Frame(message byte, payload string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(1+len(payload)))
	return append(append(b, message), payload...)
}

// write writes to a gatherer that may have closed the connection, which the next read notices.
func write(c net.Conn, b []byte) { _, _ = c.Write(b) }

// serveFrames serves one connection.
func serveFrames(c net.Conn, s *Script) {
	r := bufio.NewReader(c)
	for {
		var n uint32
		if binary.Read(r, binary.LittleEndian, &n) != nil || n == 0 {
			return
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(r, b); err != nil {
			return
		}
		switch b[0] {
		case 'C':
			write(c, Frame('C', "hit"))
		case 'A':
			if !call(c, b[1:], s) {
				return
			}
		}
	}
}

// call answers the attempts of one call, and reports whether the connection stays open.
func call(c net.Conn, b []byte, s *Script) bool {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte{'\n'})
		f := bytes.Fields(line)
		if len(f) != 4 {
			write(c, Frame('F', "a part's line is malformed"))
			return false
		}
		shard, _ := strconv.Atoi(string(f[1]))
		n, _ := strconv.Atoi(string(f[3]))
		text := string(rest[:n])
		b = rest[n:]
		end, value := Hit, Value(shard)
		if strings.HasSuffix(string(f[0]), ".load") {
			end, value = s.LoadEnd(shard, string(f[2])), LoadValue(shard)
		}
		if end == Hit {
			end = s.Next(shard, text)
		}
		switch end {
		case Reset:
			return false
		case NoAnswer:
		case Hit:
			write(c, Frame('E', fmt.Sprintf("%s hit %s latency_ms=1,queue=0\n%s", f[0], s.score(shard), value)))
		default:
			write(c, Frame('E', fmt.Sprintf("%s %s 0 -\n", f[0], end)))
		}
	}
	return true
}
