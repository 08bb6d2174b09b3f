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

	// discardLogger receives what net/http logs about single connections.
	discardLogger = log.New(io.Discard, "", 0)
)

// Endpoint is the port and the path that metrics are served at.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint parses "PORT/PATH". Without a path it is "/".
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > maxPort {
		return Endpoint{}, eris.Errorf("metrics %q: want PORT/PATH, such as 9464/metrics", text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Serve serves the metrics on the machine's address until ctx ends. It returns once the listener is open.
func Serve(ctx context.Context, ip string, endpoint Endpoint) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(endpoint.Port)))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	router := chi.NewRouter()
	router.Get(endpoint.Path, handle)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLogger}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}

func handle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_ = Write(w) // a scraper that disconnected needs nothing more
}
