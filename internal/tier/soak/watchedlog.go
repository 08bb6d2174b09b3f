package soak

import (
	"io"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// signsOfFaults are what no process may log.
var signsOfFaults = []string{invariant.Message, "panic: ", "fatal error: ", "DATA RACE", "runtime error", "mistake in the code"}

// watchedLog passes the lines of all processes on and tells of those that show a fault. Lines come whole and one at a time.
type watchedLog struct {
	to    io.Writer
	found func(line string)
}

func (l *watchedLog) Write(line []byte) (int, error) {
	written, err := l.to.Write(line)
	for _, sign := range signsOfFaults {
		if strings.Contains(string(line), sign) && l.found != nil {
			l.found(strings.TrimSpace(string(line)))
			break
		}
	}
	return written, err
}
