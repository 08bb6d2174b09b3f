package metrics

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func renderMetrics(t *testing.T) string {
	t.Helper()
	text := &strings.Builder{}
	assert.NilError(t, Write(text))
	return text.String()
}

func TestMetricsAreWrittenSortedByName(t *testing.T) {
	counter := NewCounter("test_events_total", "Events of the test.")
	counter.Inc()
	counter.Add(2)
	NewGaugeFunc("test_a_gauge", "A gauge of the test.", func() float64 { return 1.5 })
	written := renderMetrics(t)
	assert.Assert(t, strings.Contains(written, "# TYPE pulleytier_test_events_total counter\npulleytier_test_events_total 3\n"), written)
	assert.Assert(t, strings.Index(written, "pulleytier_test_a_gauge 1.5") < strings.Index(written, "pulleytier_test_events_total 3"), written)
}

func TestLabelsAreEscapedAndBounded(t *testing.T) {
	vector := NewCounterVec("test_by_kind_total", "Events of the test by kind.", "kind")
	vector.Inc("a \"b\"\n\\")
	for number := range 2 * maxLabelCombinations {
		vector.Inc(fmt.Sprint(number))
	}
	assert.Equal(t, vector.Total(), uint64(2*maxLabelCombinations+1))
	assert.Equal(t, vector.Value(overflowValue), uint64(maxLabelCombinations+1))
	assert.Assert(t, strings.Contains(renderMetrics(t), `pulleytier_test_by_kind_total{kind="a \"b\"\n\\"} 1`), renderMetrics(t))
}

// Beyond maxLabelCombinations, only the first label value is replaced; counts stay separate by the values of the other labels.
func TestOverflowWithSeveralLabels(t *testing.T) {
	vector := NewCounterVec("test_by_store_total", "Events of the test by store and reason.", "instance", "reason")
	for number := range 2 * maxLabelCombinations {
		vector.Inc(fmt.Sprint(number), "slow")
	}
	vector.Inc("late", "failing")
	vector.Inc("0", "slow")
	assert.Equal(t, vector.Value("0", "slow"), uint64(2))
	assert.Equal(t, vector.Value(overflowValue, "slow"), uint64(maxLabelCombinations))
	assert.Equal(t, vector.Value(overflowValue, "failing"), uint64(1))
	assert.Assert(t, strings.Contains(renderMetrics(t), `pulleytier_test_by_store_total{instance="0",reason="slow"} 2`), renderMetrics(t))
}

func TestParseEndpoint(t *testing.T) {
	endpoint, err := ParseEndpoint("9464/metrics")
	assert.NilError(t, err)
	assert.Equal(t, endpoint, Endpoint{Port: 9464, Path: "/metrics"})
	endpoint, err = ParseEndpoint("9464")
	assert.NilError(t, err)
	assert.Equal(t, endpoint.Path, "/")
	for _, invalid := range []string{"", "/metrics", "metrics", "0/metrics", "65536/m", "-1/m"} {
		_, err := ParseEndpoint(invalid)
		assert.ErrorContains(t, err, "want PORT/PATH", invalid)
	}
}

func TestMetricsAreServed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	port := listener.Addr().(*net.TCPAddr).Port
	assert.NilError(t, listener.Close())
	assert.NilError(t, Serve(ctx, "127.0.0.1", Endpoint{Port: port, Path: "/metrics"}))
	address := fmt.Sprintf("http://127.0.0.1:%d", port)
	response, err := http.Get(address + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	written, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(written), "pulleytier_goroutines "), "%s", written)
	notFound, err := http.Get(address + "/")
	assert.NilError(t, err)
	defer notFound.Body.Close()
	assert.Equal(t, notFound.StatusCode, http.StatusNotFound)
	assert.ErrorContains(t, Serve(ctx, "127.0.0.1", Endpoint{Port: port}), "address already in use")
}
