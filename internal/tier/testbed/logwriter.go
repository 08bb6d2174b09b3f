package testbed

import (
	"io"
	"sync"
)

// prefixWriter writes complete lines to a shared log, each after a prefix.
type prefixWriter struct {
	prefix string
	out    io.Writer
	buffer []byte // of the line that is not complete yet
}

// logMutex keeps the lines of processes that share a log apart.
var logMutex sync.Mutex

// Write implements io.Writer.
func (p *prefixWriter) Write(text []byte) (int, error) {
	for _, char := range text {
		p.buffer = append(p.buffer, char)
		if char != '\n' {
			continue
		}
		logMutex.Lock()
		_, err := io.WriteString(p.out, p.prefix+string(p.buffer))
		logMutex.Unlock()
		p.buffer = p.buffer[:0]
		if err != nil {
			return 0, err
		}
	}
	return len(text), nil
}
