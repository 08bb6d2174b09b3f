package storage

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEachNewFolderIsSynced has every folder synced that gets a new entry when folders are made one within another: with a
// name of which that is left out, a loss of power takes all that was saved below.
func TestEachNewFolderIsSynced(t *testing.T) {
	root := t.TempDir()
	data := filepath.Join(root, "data")
	deepest := filepath.Join(data, "register")
	assert.DeepEqual(t, parentsOfMissing(deepest), []string{data, root})
	assert.NilError(t, OS{}.MkdirAll(deepest))
	assert.DeepEqual(t, parentsOfMissing(deepest), []string{data})
	assert.NilError(t, OS{}.MkdirAll(deepest))
}
