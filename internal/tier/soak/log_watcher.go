package soak

import (
	"io"
	"strings"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// faultPatterns are texts that no process may log. Processes of an older build, see Options.Other, may print the older
// wordings, so these stay in the list when a log line is reworded.
var faultPatterns = []string{
	invariant.Message,
	"invariant violated",
	"panic: ", "fatal error: ", "DATA RACE", "runtime error", // of the Go runtime
	"panic in request handler", // the proxy recovered from a panic
	`"panic":`,                 // the key of that line in JSON
	"mistake in the code",      // older wording of that line
}

// logWatcher forwards the log lines of all processes and reports those that show a fault. Each Write is one complete line.
type logWatcher struct {
	to    io.Writer
	found func(line string)
}

// Write implements io.Writer.
func (l *logWatcher) Write(line []byte) (int, error) {
	written, err := l.to.Write(line)
	for _, pattern := range faultPatterns {
		if strings.Contains(string(line), pattern) && l.found != nil {
			l.found(strings.TrimSpace(string(line)))
			break
		}
	}
	return written, err
}
