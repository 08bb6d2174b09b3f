// Package metrics counts what a process of the tier does and tells it as text, in the exposition format of Prometheus
// (version 0.0.4). Counters belong to the process: they are made once, as variables of the packages that count.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// prefix begins all names.
const prefix = "pulleytier_"

// mostValues bounds the values of a label; further ones are counted together.
const (
	mostValues = 128
	otherValue = "other"
)

// metric is what a registry tells of.
type metric interface {
	name() string
	write(to io.Writer)
}

// registry holds the metrics of the process.
var registry struct {
	mu      sync.Mutex
	metrics []metric
}

func register(added metric) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.metrics = append(registry.metrics, added)
}

// Write tells all metrics of the process, by name.
func Write(to io.Writer) {
	registry.mu.Lock()
	all := slices.Clone(registry.metrics)
	registry.mu.Unlock()
	slices.SortFunc(all, func(a, b metric) int { return strings.Compare(a.name(), b.name()) })
	for _, one := range all {
		one.write(to)
	}
}

// Counter counts events. It is safe for concurrent use.
type Counter struct {
	called string
	help   string
	count  atomic.Uint64
}

// NewCounter makes a counter; its name is told behind the tier's prefix.
func NewCounter(name, help string) *Counter {
	counter := &Counter{called: prefix + name, help: help}
	register(counter)
	return counter
}

// Add counts several events.
func (c *Counter) Add(events uint64) { c.count.Add(events) }

// Inc counts one event.
func (c *Counter) Inc() { c.count.Add(1) }

// Value is the number of events so far.
func (c *Counter) Value() uint64 { return c.count.Load() }

func (c *Counter) name() string { return c.called }

func (c *Counter) write(to io.Writer) {
	writeHead(to, c.called, c.help, "counter")
	fmt.Fprintf(to, "%s %d\n", c.called, c.Value())
}

// CounterVec counts events by the value of a label. It is safe for concurrent use.
type CounterVec struct {
	called string
	help   string
	label  string

	mu     sync.Mutex
	counts map[string]uint64
}

// NewCounterVec makes a vector of counters.
func NewCounterVec(name, help, label string) *CounterVec {
	vector := &CounterVec{called: prefix + name, help: help, label: label, counts: make(map[string]uint64)}
	register(vector)
	return vector
}

// Inc counts one event of a value.
func (v *CounterVec) Inc(value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.counts[value]; !known && len(v.counts) >= mostValues {
		value = otherValue
	}
	v.counts[value]++
}

// Value is the number of events of a value so far.
func (v *CounterVec) Value(value string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts[value]
}

// Total is the number of events of all values.
func (v *CounterVec) Total() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	total := uint64(0)
	for _, count := range v.counts {
		total += count
	}
	return total
}

func (v *CounterVec) name() string { return v.called }

func (v *CounterVec) write(to io.Writer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	values := make([]string, 0, len(v.counts))
	for value := range v.counts {
		values = append(values, value)
	}
	slices.Sort(values)
	writeHead(to, v.called, v.help, "counter")
	for _, value := range values {
		fmt.Fprintf(to, "%s{%s=\"%s\"} %d\n", v.called, v.label, escape(value), v.counts[value])
	}
}

// GaugeFunc tells a figure as it stands when it is asked for.
type GaugeFunc struct {
	called string
	help   string
	read   func() float64
}

// NewGaugeFunc makes a gauge of a function that may be called at any time.
func NewGaugeFunc(name, help string, read func() float64) *GaugeFunc {
	gauge := &GaugeFunc{called: prefix + name, help: help, read: read}
	register(gauge)
	return gauge
}

func (g *GaugeFunc) name() string { return g.called }

func (g *GaugeFunc) write(to io.Writer) {
	writeHead(to, g.called, g.help, "gauge")
	fmt.Fprintf(to, "%s %g\n", g.called, g.read())
}

func writeHead(to io.Writer, name, help, kind string) {
	fmt.Fprintf(to, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, kind)
}

var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escape(value string) string { return escapes.Replace(value) }
