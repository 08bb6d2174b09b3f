// Package metrics holds the metrics of a process and serves them in the Prometheus text exposition format, version 0.0.4
// (https://prometheus.io/docs/instrumenting/exposition_formats/).
//
// Metrics are created once, as package variables; the constructors register them with the registry of the process.
package metrics

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// prefix is the namespace of all metrics.
const prefix = "pulleytier_"

const (
	// maxLabelCombinations limits the combinations of label values in a vector.
	maxLabelCombinations = 128
	// overflowValue is the label value under which events of further combinations are counted.
	overflowValue = "other"
)

// metric is a metric that can be registered.
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

// Counter is a monotonically increasing counter. It is safe for concurrent use.
type Counter struct {
	fullName string
	help     string
	count    atomic.Uint64
}

// NewCounter creates and registers a counter. Its full name is name after the prefix pulleytier_.
func NewCounter(name, help string) *Counter {
	counter := &Counter{fullName: prefix + name, help: help}
	register(counter)
	return counter
}

// Add increases the counter by a number of events.
func (c *Counter) Add(events uint64) { c.count.Add(events) }

// Inc increases the counter by one event.
func (c *Counter) Inc() { c.count.Add(1) }

// Value returns the current count.
func (c *Counter) Value() uint64 { return c.count.Load() }

func (c *Counter) name() string { return c.fullName }

func (c *Counter) write(to *bytes.Buffer) {
	writeHeader(to, c.fullName, c.help, "counter")
	fmt.Fprintf(to, "%s %d\n", c.fullName, c.Value())
}

// CounterVec is a set of counters, one for each combination of label values. It is safe for concurrent use.
type CounterVec struct {
	fullName string
	help     string
	labels   []string

	mu     sync.Mutex
	counts map[string]uint64 // by label values, joined with valueSeparator
}

// valueSeparator joins the values of the labels into a key of CounterVec.counts. No label value contains it.
const valueSeparator = "\x00"

// NewCounterVec creates and registers a counter vector with one or more labels. Its full name is name after the prefix
// pulleytier_.
func NewCounterVec(name, help string, labels ...string) *CounterVec {
	vector := &CounterVec{fullName: prefix + name, help: help, labels: labels, counts: make(map[string]uint64)}
	register(vector)
	return vector
}

// Inc increases the counter of the given label values, one for each label. Once the vector has maxLabelCombinations combinations,
// the first value of a new one is replaced by overflowValue.
func (v *CounterVec) Inc(values ...string) {
	key := strings.Join(values, valueSeparator)
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.counts[key]; !known && len(v.counts) >= maxLabelCombinations {
		_, otherLabels, hasOthers := strings.Cut(key, valueSeparator)
		key = overflowValue
		if hasOthers {
			key += valueSeparator + otherLabels
		}
	}
	v.counts[key]++
}

// Value returns the current count of the given label values.
func (v *CounterVec) Value(values ...string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts[strings.Join(values, valueSeparator)]
}

// Total returns the sum of the counts of all label values.
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
	writeHeader(to, v.fullName, v.help, "counter")
	for _, key := range slices.Sorted(maps.Keys(v.counts)) {
		fmt.Fprintf(to, "%s{%s} %d\n", v.fullName, v.labelPairs(key), v.counts[key])
	}
}

// labelPairs formats a key of counts as name="value" pairs, separated by commas.
func (v *CounterVec) labelPairs(key string) string {
	values := strings.Split(key, valueSeparator)
	pairs := make([]string, len(values))
	for i, value := range values {
		pairs[i] = fmt.Sprintf("%s=\"%s\"", v.labels[i], escapeLabelValue(value))
	}
	return strings.Join(pairs, ",")
}

// GaugeFunc is a gauge whose value is read from a function at each scrape.
type GaugeFunc struct {
	fullName string
	help     string
	read     func() float64
}

// NewGaugeFunc creates and registers a gauge. Its full name is name after the prefix pulleytier_. read is called from any
// goroutine, possibly concurrently.
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

// labelValueEscaper replaces the characters that the text format requires to be escaped in label values.
var labelValueEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escapeLabelValue(value string) string { return labelValueEscaper.Replace(value) }
