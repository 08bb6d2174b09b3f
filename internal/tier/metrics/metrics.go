// Package metrics counts events of a process of the tier and serves them in the Prometheus text exposition format,
// version 0.0.4 (https://prometheus.io/docs/instrumenting/exposition_formats/).
//
// Metrics are made once, as variables of the packages that count; they register themselves with the process.
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

// maxLabelValues bounds the combinations of label values of a vector; events of further ones are counted under otherValue.
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

// CounterVec is a set of counters, one for each combination of its labels' values. It is safe for concurrent use.
type CounterVec struct {
	fullName string
	help     string
	labels   []string

	mu     sync.Mutex
	counts map[string]uint64 // by the values, joined by valueSeparator
}

// valueSeparator joins the values of several labels to a key. No value contains it.
const valueSeparator = "\x00"

// NewCounterVec makes and registers a counter vector with one label or several. The name gets the tier's prefix.
func NewCounterVec(name, help string, labels ...string) *CounterVec {
	vector := &CounterVec{fullName: prefix + name, help: help, labels: labels, counts: make(map[string]uint64)}
	register(vector)
	return vector
}

// Inc counts one event with these label values, one for each label. Once maxLabelValues combinations are known, the first
// value of a new one is replaced by otherValue.
func (v *CounterVec) Inc(values ...string) {
	key := strings.Join(values, valueSeparator)
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.counts[key]; !known && len(v.counts) >= maxLabelValues {
		_, rest, several := strings.Cut(key, valueSeparator)
		key = otherValue
		if several {
			key += valueSeparator + rest
		}
	}
	v.counts[key]++
}

// Value is the number of events with these label values so far.
func (v *CounterVec) Value(values ...string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts[strings.Join(values, valueSeparator)]
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
	writeHeader(to, v.fullName, v.help, "counter")
	for _, key := range slices.Sorted(maps.Keys(v.counts)) {
		fmt.Fprintf(to, "%s{%s} %d\n", v.fullName, v.labelPairs(key), v.counts[key])
	}
}

// labelPairs formats the labels of a key of counts.
func (v *CounterVec) labelPairs(key string) string {
	values := strings.Split(key, valueSeparator)
	pairs := make([]string, len(values))
	for i, value := range values {
		pairs[i] = fmt.Sprintf("%s=\"%s\"", v.labels[i], escape(value))
	}
	return strings.Join(pairs, ",")
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
