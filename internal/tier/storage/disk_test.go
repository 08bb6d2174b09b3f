package storage

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMkdirAllSyncsParentsOfNewDirectories: with nested directories, each parent that gets a new entry is synced. If one
// were omitted, a loss of power would take all that was saved below it.
func TestMkdirAllSyncsParentsOfNewDirectories(t *testing.T) {
	root := t.TempDir()
	data := filepath.Join(root, "data")
	deepest := filepath.Join(data, "register")
	assert.DeepEqual(t, parentsOfMissing(deepest), []string{data, root})
	assert.NilError(t, OS{}.MkdirAll(deepest))
	assert.DeepEqual(t, parentsOfMissing(deepest), []string{data})
	assert.NilError(t, OS{}.MkdirAll(deepest))
}
