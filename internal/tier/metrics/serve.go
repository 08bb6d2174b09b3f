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
	largestPort   = 65535
)

var (
	_ = NewGaugeFunc("goroutines", "Goroutines of the process.", func() float64 { return float64(runtime.NumGoroutine()) })

	silent = log.New(io.Discard, "", 0)
)

// Endpoint is where metrics are told.
type Endpoint struct {
	Port int
	Path string // begins with a slash
}

// ParseEndpoint reads "PORT/PATH".
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, _ := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 || number > largestPort {
		return Endpoint{}, eris.Errorf("metrics %q: want PORT/PATH, such as 9464/metrics", text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// Serve tells the metrics at a place on a machine's address until ctx ends.
func Serve(ctx context.Context, ip string, at Endpoint) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(at.Port)))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	router := chi.NewRouter()
	router.Get(at.Path, handle)
	server := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: silent}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}

func handle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	Write(w)
}
