package command

import (
	"os"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

// checkSettings is the command "check-settings".
type checkSettings struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Run validates a settings file with the checks that a role applies when it starts.
func (c *checkSettings) Run(env *environment) error {
	parsed, err := settings.Load(c.File)
	if err != nil {
		env.fail(ExitBadFile, err)
		return nil
	}
	env.printf("%s: good: %s at %s, %d seeds\n", c.File, parsed.NodeName, parsed.IP, len(parsed.Seeds))
	return nil
}

// checkConfig is the command "check-config".
type checkConfig struct {
	File string `arg:"" help:"Configuration (JSON), as an operator would send it."`
}

// Run validates a configuration with the checks that a coordinator applies before it proposes one, except for the version in
// If-Match.
func (c *checkConfig) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		env.fail(ExitBadFile, err)
		return nil
	}
	parsed, err := configuration.Parse(text)
	if err != nil {
		env.fail(ExitBadFile, err)
		return nil
	}
	env.printf("%s: good: generation %d, %d routes, %d services\n",
		c.File, parsed.Generation, len(parsed.Routes), len(parsed.Services))
	return nil
}
