package metrics

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
)

const (
	contentType   = "text/plain; version=0.0.4; charset=utf-8"
	headerTimeout = 2 * time.Second
	maxPort       = 65535
)

var (
	_ = NewGaugeFunc("goroutines", "Goroutines of the process.", func() float64 { return float64(runtime.NumGoroutine()) })

	// discardLogger drops the messages that net/http logs about individual connections.
	discardLogger = log.New(io.Discard, "", 0)
)

// Endpoint is the port and the path at which metrics are served.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint parses "PORT/PATH". If the path is missing, it is "/".
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > maxPort {
		return Endpoint{}, eris.Errorf("metrics %q: want PORT/PATH, such as 9464/metrics", text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Serve starts to serve the metrics at an IP address and endpoint and returns once the listener is open. The server is closed
// when ctx is done.
func Serve(ctx context.Context, ip string, endpoint Endpoint) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(endpoint.Port)))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	router := chi.NewRouter()
	router.Get(endpoint.Path, handleScrape)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLogger}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}

func handleScrape(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_ = Write(w) // fails only if the client has disconnected
}
