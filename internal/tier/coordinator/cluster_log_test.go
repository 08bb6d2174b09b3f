package coordinator

import (
	"strings"

	"github.com/hashicorp/go-hclog"
)

// log writes a machine's log into the output of a test that fails, with the simulated time, and keeps it.
func (c *cluster) log(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: testWriter{c}, TimeFormat: "05.000"})
}

// logged counts the lines of a machine's log that hold a text.
func (c *cluster) logged(name, text string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, line := range c.lines {
		if strings.Contains(line, " "+name+": ") && strings.Contains(line, text) {
			count++
		}
	}
	return count
}

type testWriter struct{ cluster *cluster }

func (w testWriter) Write(line []byte) (int, error) {
	w.cluster.t.Log(strings.TrimRight(string(line), "\n"))
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.cluster.lines = append(w.cluster.lines, string(line))
	return len(line), nil
}
