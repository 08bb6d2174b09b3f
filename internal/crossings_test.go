package internal_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	namedCode = regexp.MustCompile("`(\\w+\\.go)` (\\w+)")
	namedTest = regexp.MustCompile("`(Test\\w+)`")
	function  = regexp.MustCompile(`(?m)^func (?:\([^)]*\) )?(\w+)`)
)

// TestCrossingsNameWhatThereIs reads docs/crossings.md: each function stands in the file that is named, and each test
// is somewhere in the gatherer, the decision module or the programs.
func TestCrossingsNameWhatThereIs(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "crossings.md"))
	assert.NilError(t, err)

	inFile, anywhere := map[string]bool{}, map[string]bool{}
	for _, part := range []string{"internal/gatherer", "policy", "cmd"} {
		err := filepath.WalkDir(filepath.Join("..", part), func(name string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") {
				return err
			}
			text, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			for _, match := range function.FindAllSubmatch(text, -1) {
				inFile[filepath.Base(name)+" "+string(match[1])] = true
				anywhere[string(match[1])] = true
			}
			return nil
		})
		assert.NilError(t, err)
	}

	code := namedCode.FindAllSubmatch(page, -1)
	assert.Assert(t, len(code) > 0)
	for _, match := range code {
		assert.Check(t, inFile[string(match[1])+" "+string(match[2])], "%s has no function %s", match[1], match[2])
	}
	for _, match := range namedTest.FindAllSubmatch(page, -1) {
		assert.Check(t, anywhere[string(match[1])], "no test %s", match[1])
	}
}
