package command

import (
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// A role runs even if its metrics cannot be served: an invalid endpoint, or a port that is reserved for a listener, is only
// logged.
func TestRoleRunsWhenMetricsCannotBeServed(t *testing.T) {
	ran := 0
	roles := []Role{{Name: "r", Run: func(context.Context, *settings.Live, hclog.Logger) error {
		ran++
		return nil
	}}}
	path := writeFile(t, validSettings)
	for endpoint, reason := range map[string]string{
		"nowhere":      "want PORT/PATH",
		"7305/metrics": "port 7305 is reserved for the listeners of this machine",
	} {
		got := runCommand(roles, "r", "--settings", path, "--metrics", endpoint)
		assert.Equal(t, got.code, ExitOK, got.err)
		assert.Assert(t, strings.Contains(got.err, reason), got.err)
	}
	got := runCommand(roles, "r", "--settings", writeFile(t, validSettings+"metrics = \"7310/m\"\n"))
	assert.Assert(t, strings.Contains(got.err, "port 7310 is reserved for the listeners of this machine"), got.err)
	assert.Equal(t, ran, 3)
}
