package rules

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// page lists the rules with the tests and the code that keep them.
const page = "../../../docs/rules-tests.md"

var (
	named    = regexp.MustCompile("`([a-z/]+)\\.(Test[A-Za-z0-9]+)`")
	code     = regexp.MustCompile("`([a-z/]+\\.go)(?: ([A-Za-z]+))?`")
	declared = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
)

// TestPageNamesTestsThatExist checks that every row of the page names tests that exist.
func TestPageNamesTestsThatExist(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	tests := map[string]map[string]bool{}
	for line, row := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(row, "| ") || strings.HasPrefix(row, "| rule ") || strings.HasPrefix(row, "| ---") {
			continue
		}
		found := named.FindAllStringSubmatch(row, -1)
		assert.Assert(t, len(found) > 0, "line %d names no test", line+1)
		for _, match := range found {
			folder, test := match[1], match[2]
			if tests[folder] == nil {
				tests[folder] = testsIn(t, folder)
			}
			assert.Check(t, tests[folder][test], "line %d: no test %s in %s", line+1, test, folder)
		}
	}
}

// testsIn returns the names of the tests in a package.
func testsIn(t *testing.T, folder string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", folder, "*_test.go"))
	assert.NilError(t, err)
	names := map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, match := range declared.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
	}
	return names
}

// TestPageNamesCodeThatExists checks that every file and function that the page names exists.
func TestPageNamesCodeThatExists(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	found := code.FindAllStringSubmatch(string(text), -1)
	assert.Assert(t, len(found) > 0)
	for _, match := range found {
		file, function := match[1], match[2]
		source, err := os.ReadFile(filepath.Join("..", file))
		assert.Check(t, err, "%s", file)
		if function == "" {
			continue
		}
		header := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + function + `[\[(]`)
		assert.Check(t, header.Match(source), "no function %s in %s", function, file)
	}
}
