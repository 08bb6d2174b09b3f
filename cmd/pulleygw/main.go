// Command pulleygw is one gatherer: it serves queries of clients, sends their subqueries to lot stores and merges the answers.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/cli"
	"pulleygw.example/pulleygw/internal/gatherer/lifecycle"
	"pulleygw.example/pulleygw/internal/gatherer/logging"
)

func main() {
	// Before anything else, as either signal would end the process until then. One channel each, as a full one drops signals.
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr, func(f cli.Files) error { return serve(f, terminate, reload) }))
}

// serve serves until the process is told to terminate.
func serve(f cli.Files, terminate, reload <-chan os.Signal) error {
	level := &slog.LevelVar{}
	level.Set(f.LogLevel)
	// A burst of one event, as of connections to a crashed lot store, must not take up the core's time.
	logger := logging.New(logging.Config{Out: os.Stderr, Format: f.LogFormat, Level: level, MaxLines: 200, Span: time.Second})
	c, err := lifecycle.LoadConfig(f.Config, os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	c.LimitsFile, c.RecordDir, c.Level = f.Limits, f.Record, level
	front, err := lifecycle.LoadFront(f.OpenSearch, &c.Settings)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	operations, err := lifecycle.LoadOperations(f.Operations)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	fileFront, fileOperations, err := lifecycle.LoadFile(f.Limits, &c.Settings)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if front != nil && fileFront != nil || operations != nil && fileOperations != nil {
		return fmt.Errorf("configuration: %s says what %s or %s says too: want it in one of them", f.Limits, f.OpenSearch, f.Operations)
	}
	if fileFront != nil {
		front = fileFront
	}
	if fileOperations != nil {
		operations = fileOperations
	}
	d, err := lifecycle.Start(c, front, operations, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	drained := make(chan struct{})
	for {
		select {
		case <-reload: // also while draining, which may take as long as the longest deadline
			d.Reload(f.Config)
		case <-terminate:
			terminate = nil // a second signal has no effect
			go func() { d.Drain(); close(drained) }()
		case <-drained:
			return nil
		}
	}
}
