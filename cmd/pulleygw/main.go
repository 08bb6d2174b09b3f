// Command pulleygw is one gatherer: it takes queries from clients, sends their parts to lot stores and
// answers from what comes back.
package main

import (
	"flag"
	"log"
	"os"
	"os/signal"
	"syscall"

	"pulleygw.example/pulleygw/internal/lifecycle"
)

func main() {
	config := flag.String("config", os.Getenv("LB_CONFIG"), "the configuration file (default $LB_CONFIG)")
	frontFile := flag.String("opensearch", "deploy/opensearch.json", "the OpenSearch-style front's file; without it that front is off")
	operationsFile := flag.String("operations", "deploy/operations.json", "the file of the balancers' endpoints and the store; without it they are off")
	limitsFile := flag.String("limits", "deploy/limits.yaml", "the file of limits by route; without it there are none")
	flag.Parse()
	// Before anything else, as either signal would kill until then. A channel each: one that is full drops.
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	logger := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds)
	c, err := lifecycle.LoadConfig(*config, os.Getenv)
	if err != nil {
		logger.Fatalf("configuration: %v", err)
	}
	c.LimitsFile = *limitsFile
	front, err := lifecycle.LoadFront(*frontFile, &c.Settings)
	if err != nil {
		logger.Fatalf("configuration: %v", err)
	}
	operations, err := lifecycle.LoadOperations(*operationsFile)
	if err != nil {
		logger.Fatalf("configuration: %v", err)
	}
	d, err := lifecycle.Start(c, front, operations, logger)
	if err != nil {
		logger.Fatalf("start: %v", err)
	}
	for {
		select {
		case <-reload:
			d.Reload(*config)
		case <-terminate:
			d.Drain()
			return
		}
	}
}
