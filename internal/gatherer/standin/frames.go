package standin

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

// Frames is a lot store that speaks frames, until the listener closes.
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

// Frame formats a frame.
func Frame(letter byte, rest string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(1+len(rest)))
	return append(append(b, letter), rest...)
}

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
			c.Write(Frame('C', "hit"))
		case 'A':
			if !call(c, b[1:], s) {
				return
			}
		}
	}
}

// call answers the parts of one call, and says whether the connection goes on.
func call(c net.Conn, b []byte, s *Script) bool {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte{'\n'})
		f := bytes.Fields(line)
		if len(f) != 4 {
			c.Write(Frame('F', "a part's line is malformed"))
			return false
		}
		shard, _ := strconv.Atoi(string(f[1]))
		n, _ := strconv.Atoi(string(f[3]))
		text := string(rest[:n])
		b = rest[n:]
		end, value := Hit, Value(shard)
		if strings.HasSuffix(string(f[0]), ".load") {
			end, value = s.Load(shard, string(f[2])), LoadValue(shard)
		}
		if end == Hit {
			end = s.Next(shard, text)
		}
		switch end {
		case Reset:
			return false
		case Silent:
		case Hit:
			c.Write(Frame('E', fmt.Sprintf("%s hit %s latency_ms=1,queue=0\n%s", f[0], s.score(shard), value)))
		default:
			c.Write(Frame('E', fmt.Sprintf("%s %s 0 -\n", f[0], end)))
		}
	}
	return true
}
