package coordinator

import (
	"strings"

	"github.com/hashicorp/go-hclog"
)

// log returns a logger for a machine that writes to the test's output, with simulated times, and records the lines.
func (c *cluster) log(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: testWriter{c}, TimeFormat: "05.000"})
}

// countLogLines counts the lines of a machine's log that contain a text.
func (c *cluster) countLogLines(name, text string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, line := range c.logLines {
		if strings.Contains(line, " "+name+": ") && strings.Contains(line, text) {
			count++
		}
	}
	return count
}

// testWriter writes log lines to the test's output and records them in the cluster.
type testWriter struct{ cluster *cluster }

func (w testWriter) Write(line []byte) (int, error) {
	w.cluster.t.Log(strings.TrimRight(string(line), "\n"))
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.cluster.logLines = append(w.cluster.logLines, string(line))
	return len(line), nil
}
