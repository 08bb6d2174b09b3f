package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "pulleygw.example/pulleygw/"

// mayImport says which parts of the tree each part may import: the gatherer and the serving tier use the shared packages,
// and neither imports the other.
var mayImport = map[string][]string{
	"internal/shared":   {"internal/shared"},
	"internal/gatherer": {"internal/gatherer", "internal/shared", "policy"},
	"policy":            {"policy", "internal/gatherer", "internal/shared"},
	"internal/tier":     {"internal/tier", "internal/shared"},
	"cmd/pulleygw":      {"internal/gatherer", "internal/shared", "policy"},
	"cmd/simhost":       {"internal/gatherer", "internal/shared", "policy"},
	"cmd/pulleytier":    {"internal/tier", "internal/shared"},
}

// TestImportsFollowTheLayout reads every file's imports; those of tests count as well.
func TestImportsFollowTheLayout(t *testing.T) {
	for part, allowed := range mayImport {
		files := 0
		err := filepath.WalkDir(filepath.Join("..", part), func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || path.Ext(name) != ".go" {
				return err
			}
			files++
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
			assert.NilError(t, err)
			for _, spec := range file.Imports {
				imported, err := strconv.Unquote(spec.Path.Value)
				assert.NilError(t, err)
				ours, is := strings.CutPrefix(imported, module)
				assert.Check(t, !is || within(ours, allowed), "%s imports %s", name, imported)
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Assert(t, files > 0, part)
	}
}

// TestEveryPackageBelongsToAProgram names a folder that is neither program's nor shared.
func TestEveryPackageBelongsToAProgram(t *testing.T) {
	folders, err := filepath.Glob("*/")
	assert.NilError(t, err)
	for _, folder := range folders {
		assert.Check(t, within(path.Join("internal", folder), []string{"internal/shared", "internal/gatherer", "internal/tier"}), folder)
	}
}

func within(folder string, parts []string) bool {
	for _, part := range parts {
		if folder == part || strings.HasPrefix(folder, part+"/") {
			return true
		}
	}
	return false
}
