package coordinator

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func TestMissingRequiredSettingsAreReported(t *testing.T) {
	err := Run(context.Background(), settings.Fixed(&settings.Settings{DataDir: t.TempDir()}), hclog.NewNullLogger())
	assert.ErrorContains(t, err, "listen.control")
	nodeSettings := &settings.Settings{Listen: settings.Listen{Control: "127.0.0.1:1"}}
	err = Run(context.Background(), settings.Fixed(nodeSettings), hclog.NewNullLogger())
	assert.ErrorContains(t, err, "dataDir")
}

// Runs a single coordinator with real sockets on loopback, sends it a configuration, and stops it.
func TestRunServesAndStops(t *testing.T) {
	control := net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(t)))
	internalPort := freePort(t)
	nodeSettings := &settings.Settings{
		NodeName: "core", IP: "127.0.0.1", EphemeralPorts: []int{internalPort, internalPort + 10}, Bootstrap: true, DataDir: t.TempDir(),
		Seeds: []string{control}, Listen: settings.Listen{Control: control}, HeartbeatMs: testHeartbeatMs,
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan struct{})
	ended := make(chan error, 1)
	log := hclog.New(&hclog.LoggerOptions{Output: &closeOnWrite{closed: started}})
	go func() { ended <- Run(ctx, settings.Fixed(nodeSettings), log) }()
	<-started
	status := 0
	for status != http.StatusOK {
		status = putOverSocket(t, control, configurationOf(1, "a"))
	}
	cancel()
	assert.NilError(t, <-ended)
	_, err := net.Dial("tcp4", control)
	assert.Assert(t, err != nil, "the listener is still open")
}

// putOverSocket sends a configuration over a socket and returns the status, or 0 if the request fails.
func putOverSocket(t *testing.T, control, body string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+control+"/v1/config", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("If-Match", "0")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// closeOnWrite is a log output that closes a channel when the first line is written.
type closeOnWrite struct {
	once   sync.Once
	closed chan struct{}
}

func (c *closeOnWrite) Write(line []byte) (int, error) {
	c.once.Do(func() { close(c.closed) })
	return len(line), nil
}
