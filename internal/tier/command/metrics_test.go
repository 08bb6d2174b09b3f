package command

import (
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Metrics never keep a role from running: an invalid endpoint, or a port that a role needs, is only logged.
func TestMetricsThatCannotBeServedAreLogged(t *testing.T) {
	ran := 0
	table := []Role{{Name: "r", Run: func(context.Context, *settings.Live, hclog.Logger) error {
		ran++
		return nil
	}}}
	path := writeFile(t, goodSettings)
	for endpoint, reason := range map[string]string{
		"nowhere":      "want PORT/PATH",
		"7305/metrics": "port 7305 is one of this machine's own",
	} {
		got := runCommand(table, "r", "--settings", path, "--metrics", endpoint)
		assert.Equal(t, got.code, ExitOK, got.err)
		assert.Assert(t, strings.Contains(got.err, reason), got.err)
	}
	got := runCommand(table, "r", "--settings", writeFile(t, goodSettings+"metrics = \"7310/m\"\n"))
	assert.Assert(t, strings.Contains(got.err, "port 7310 is one of this machine's own"), got.err)
	assert.Equal(t, ran, 3)
}
