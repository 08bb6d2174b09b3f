// Command pulleytier runs one role of the serving tier: proxy, agent, coordinator or turn-store.
package main

import (
	"os"

	"pulleygw.example/pulleygw/internal/tier/command"
)

func main() {
	os.Exit(int(command.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
