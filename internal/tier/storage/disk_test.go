package storage

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMkdirAllSyncsParentsOfNewDirectories: each parent of a new directory must be synced. Otherwise a loss of power could
// remove the new directory and everything saved below it.
func TestMkdirAllSyncsParentsOfNewDirectories(t *testing.T) {
	root := t.TempDir()
	data := filepath.Join(root, "data")
	deepest := filepath.Join(data, "register")
	assert.DeepEqual(t, directoriesToSync(deepest), []string{data, root})
	assert.NilError(t, OS{}.MkdirAll(deepest))
	assert.DeepEqual(t, directoriesToSync(deepest), []string{data})
	assert.NilError(t, OS{}.MkdirAll(deepest))
}
