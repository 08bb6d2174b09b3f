// Package metrics counts events of a process of the tier and serves them in the Prometheus text exposition format,
// version 0.0.4 (https://prometheus.io/docs/instrumenting/exposition_formats/).
//
// Metrics are made once, as variables of the packages that count; they register themselves with the process.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// prefix is the namespace of all metrics.
const prefix = "pulleytier_"

// maxLabelValues bounds the cardinality of a label; events of further values are counted under otherValue.
const (
	maxLabelValues = 128
	otherValue     = "other"
)

// metric is what can be registered.
type metric interface {
	name() string
	write(to *bytes.Buffer)
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

// Write writes all metrics of the process, sorted by name.
func Write(to io.Writer) error {
	var text bytes.Buffer
	registry.mu.Lock()
	metrics := slices.Clone(registry.metrics)
	registry.mu.Unlock()
	slices.SortFunc(metrics, func(a, b metric) int { return strings.Compare(a.name(), b.name()) })
	for _, registered := range metrics {
		registered.write(&text)
	}
	_, err := text.WriteTo(to)
	return err
}

// Counter is a count that only increases. It is safe for concurrent use.
type Counter struct {
	fullName string
	help     string
	count    atomic.Uint64
}

// NewCounter makes and registers a counter. The name gets the tier's prefix.
func NewCounter(name, help string) *Counter {
	counter := &Counter{fullName: prefix + name, help: help}
	register(counter)
	return counter
}

// Add counts several events.
func (c *Counter) Add(events uint64) { c.count.Add(events) }

// Inc counts one event.
func (c *Counter) Inc() { c.count.Add(1) }

// Value is the number of events so far.
func (c *Counter) Value() uint64 { return c.count.Load() }

func (c *Counter) name() string { return c.fullName }

func (c *Counter) write(to *bytes.Buffer) {
	writeHeader(to, c.fullName, c.help, "counter")
	fmt.Fprintf(to, "%s %d\n", c.fullName, c.Value())
}

// CounterVec is a set of counters, one for each value of a label. It is safe for concurrent use.
type CounterVec struct {
	fullName string
	help     string
	label    string

	mu     sync.Mutex
	counts map[string]uint64
}

// NewCounterVec makes and registers a counter vector. The name gets the tier's prefix.
func NewCounterVec(name, help, label string) *CounterVec {
	vector := &CounterVec{fullName: prefix + name, help: help, label: label, counts: make(map[string]uint64)}
	register(vector)
	return vector
}

// Inc counts one event with this label value.
func (v *CounterVec) Inc(value string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.counts[value]; !known && len(v.counts) >= maxLabelValues {
		value = otherValue
	}
	v.counts[value]++
}

// Value is the number of events with this label value so far.
func (v *CounterVec) Value(value string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts[value]
}

// Total is the number of events of all label values.
func (v *CounterVec) Total() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	total := uint64(0)
	for _, count := range v.counts {
		total += count
	}
	return total
}

func (v *CounterVec) name() string { return v.fullName }

func (v *CounterVec) write(to *bytes.Buffer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	values := make([]string, 0, len(v.counts))
	for value := range v.counts {
		values = append(values, value)
	}
	slices.Sort(values)
	writeHeader(to, v.fullName, v.help, "counter")
	for _, value := range values {
		fmt.Fprintf(to, "%s{%s=\"%s\"} %d\n", v.fullName, v.label, escape(value), v.counts[value])
	}
}

// GaugeFunc is a gauge whose value is read from a function at each scrape.
type GaugeFunc struct {
	fullName string
	help     string
	read     func() float64
}

// NewGaugeFunc makes and registers a gauge. The function must be safe to call at any time.
func NewGaugeFunc(name, help string, read func() float64) *GaugeFunc {
	gauge := &GaugeFunc{fullName: prefix + name, help: help, read: read}
	register(gauge)
	return gauge
}

func (g *GaugeFunc) name() string { return g.fullName }

func (g *GaugeFunc) write(to *bytes.Buffer) {
	writeHeader(to, g.fullName, g.help, "gauge")
	fmt.Fprintf(to, "%s %g\n", g.fullName, g.read())
}

func writeHeader(to *bytes.Buffer, name, help, kind string) {
	fmt.Fprintf(to, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, kind)
}

// escapes are the escape sequences of label values.
var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escape(value string) string { return escapes.Replace(value) }
