package rules

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// guaranteesPage lists the guarantees of the tier, what may break them, and what checks them.
const guaranteesPage = "../../../docs/guarantees.md"

var (
	declaredInvariant = regexp.MustCompile(`(?m)^\t([A-Za-z]+) Name = "([a-z-]+)"`)
	namedInvariant    = regexp.MustCompile("inv\\. `([a-z-]+)`")
	alsoNamed         = regexp.MustCompile("`([a-z-]+)`; soak marks")
)

// TestGuaranteesNameTheInvariants checks that each declared invariant is used in the code and named on the page, and that the
// page names no other.
func TestGuaranteesNameTheInvariants(t *testing.T) {
	page, err := os.ReadFile(guaranteesPage)
	assert.NilError(t, err)
	names, err := os.ReadFile("../invariant/names.go")
	assert.NilError(t, err)
	code := sourcesBelow(t, "..")
	known := make(map[string]bool)
	for _, match := range declaredInvariant.FindAllStringSubmatch(string(names), -1) {
		known[match[2]] = true
		assert.Check(t, strings.Contains(code, "invariant."+match[1]+","), "%s is checked nowhere", match[1])
		assert.Check(t, strings.Contains(string(page), "`"+match[2]+"`"), "%s is not on the page", match[2])
	}
	for _, pattern := range []*regexp.Regexp{namedInvariant, alsoNamed} {
		for _, match := range pattern.FindAllStringSubmatch(string(page), -1) {
			assert.Check(t, known[match[1]], "the page names %s", match[1])
		}
	}
}

// TestGuaranteesNameTestsThatExist checks that the tests that the page names exist.
func TestGuaranteesNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(guaranteesPage)
	assert.NilError(t, err)
	for _, match := range named.FindAllStringSubmatch(string(page), -1) {
		assert.Check(t, testsIn(t, match[1])[match[2]], "no test %s in %s", match[2], match[1])
	}
}

// sourcesBelow concatenates all sources below a folder, except those of tests.
func sourcesBelow(t *testing.T, folder string) string {
	t.Helper()
	all := strings.Builder{}
	err := filepath.WalkDir(folder, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			return err
		}
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		all.Write(text)
		return nil
	})
	assert.NilError(t, err)
	return all.String()
}
