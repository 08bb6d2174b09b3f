package command

import (
	"fmt"
	"os"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

type checkSettings struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Run checks a settings file as a role would at its start.
func (c *checkSettings) Run(around *environment) error {
	read, err := settings.Load(c.File)
	if err != nil {
		around.fail(ExitBadFile, err)
		return nil
	}
	fmt.Fprintf(around.out, "%s: good: %s at %s, %d seeds\n", c.File, read.NodeName, read.IP, len(read.Seeds))
	return nil
}

type checkConfig struct {
	File string `arg:"" help:"Configuration (JSON), as an operator would send it."`
}

// Run checks a configuration as a coordinator would before taking it, but for the version it builds on.
func (c *checkConfig) Run(around *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		around.fail(ExitBadFile, err)
		return nil
	}
	read, err := configuration.Parse(text)
	if err != nil {
		around.fail(ExitBadFile, err)
		return nil
	}
	fmt.Fprintf(around.out, "%s: good: generation %d, %d routes, %d services\n",
		c.File, read.Generation, len(read.Routes), len(read.Services))
	return nil
}
