package internal_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

// debianName is the form that Debian's policy gives the name of a package.
var debianName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// TestDeployListsSystemPackages reads the list that the tier's build and CI rest on. README.md explains every entry.
func TestDeployListsSystemPackages(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "deploy", "system.toml"))
	assert.NilError(t, err)
	readme, err := os.ReadFile(filepath.Join("..", "README.md"))
	assert.NilError(t, err)

	var deploy struct {
		Packages []string `toml:"packages"`
	}
	assert.NilError(t, toml.Unmarshal(text, &deploy))
	assert.Assert(t, len(deploy.Packages) > 0)

	listed := map[string]bool{}
	for _, name := range deploy.Packages {
		assert.Check(t, debianName.MatchString(name), name)
		assert.Check(t, !listed[name], "%s twice", name)
		assert.Check(t, strings.Contains(string(readme), "| `"+name+"` |"), "README.md does not explain %s", name)
		listed[name] = true
	}
}
