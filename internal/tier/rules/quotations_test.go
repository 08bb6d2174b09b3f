package rules

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The pages quote code in backquotes, in these forms:
//
//	`role: log line`            a role of the tier, and the event of a log call; fields follow behind " … " as key=value
//	`package.TestName`          a test; the package by the end of its path
//	`TestName`                  a test of any package
//	`path/file.go`, `file.go F` a file by the end of its path, and a function or method that it declares
//	`internal/path`             a file or folder by its whole path (also tools, cmd, examples, conformance, policy)
//
// Other forms are not checked, nor are paths below deploy, which are those of an installation. Pages on the past (incidents,
// experiments, the journal) are not read.
var (
	inBackquotes   = regexp.MustCompile("`([^`\n]+)`")
	quotedLogLine  = regexp.MustCompile(`^(?:proxy|agent|coordinator|turn-store): (.+)$`)
	quotedLogField = regexp.MustCompile(`([a-zA-Z_]+)=`)
	quotedTest     = regexp.MustCompile(`^(?:([a-z/]+)\.)?(Test[A-Z][A-Za-z0-9]*)$`)
	quotedFile     = regexp.MustCompile(`^([a-z0-9_/]+\.go)(?: ([A-Za-z]+))?$`)
	quotedPath     = regexp.MustCompile(`^(?:internal|tools|cmd|examples|conformance|policy)/[A-Za-z0-9_./-]*$`)

	logCall = regexp.MustCompile(`\.(?:Trace|Debug|Info|Warn|Error)\(\s*("(?:[^"\\]|\\.)*")`)
)

// outsideRepository are the packages of the lab, which pages describe and the repository does not hold.
var outsideRepository = map[string]bool{
	"internal/model": true, "internal/model/events": true, "internal/model/baseline": true, "internal/lab": true,
	"cmd/pulleylab": true,
}

// quotedPages are the patterns of the pages that are read, from the root.
var quotedPages = []string{"docs/*.md", "docs/runbooks/*.md", "docs/tier/*.md", "docs/design/*.md"}

// TestPagesQuoteCodeThatExists fails for each quotation of a page that the code does not have, or no longer.
func TestPagesQuoteCodeThatExists(t *testing.T) {
	code := loadQuotable(t, "../../..")
	checked := 0
	for _, pattern := range quotedPages {
		pages, err := filepath.Glob(filepath.Join(code.root, pattern))
		assert.NilError(t, err)
		assert.Check(t, len(pages) > 0, "no page matches %s", pattern)
		for _, page := range pages {
			text, err := os.ReadFile(page)
			assert.NilError(t, err)
			for number, line := range strings.Split(string(text), "\n") {
				for _, match := range inBackquotes.FindAllStringSubmatch(line, -1) {
					known, problem := code.check(match[1])
					if known {
						checked++
					}
					assert.Check(t, problem == "", "%s:%d: `%s`: %s", filepath.Base(page), number+1, match[1], problem)
				}
			}
		}
	}
	assert.Check(t, checked > 100, "only %d quotations were recognized", checked)
}

// TestWrongQuotationsAreFound shows that each form of a quotation can fail.
func TestWrongQuotationsAreFound(t *testing.T) {
	code := loadQuotable(t, "../../..")
	code.addSource("internal/tier/example/example.go", `log.Warn("example event", "reason", err)`)
	for right, wrong := range map[string]string{
		"proxy: example event":              "proxy: another event",
		"agent: example event … reason=x":   "agent: example event … unheardOf=x",
		"rules.TestWrongQuotationsAreFound": "rules.TestWrongQuotationsAreMissed",
		"TestWrongQuotationsAreFound":       "TestWrongQuotationsAreMissed",
		"rules/quotations_test.go check":    "rules/quotations_test.go neverDeclared",
		"quotations_test.go":                "never_written_test.go",
		"internal/tier/rules":               "internal/tier/rulers",
	} {
		known, problem := code.check(right)
		assert.Check(t, known && problem == "", "`%s`: %s", right, problem)
		known, problem = code.check(wrong)
		assert.Check(t, known && problem != "", "`%s` is accepted", wrong)
	}
}

// quotable is what pages may quote.
type quotable struct {
	root   string
	paths  map[string]bool            // files and folders, from the root
	tests  map[string]map[string]bool // packages by test
	events map[string]bool            // of log calls in production code
	code   strings.Builder            // of the tier's production code
}

// loadQuotable reads the repository.
func loadQuotable(t *testing.T, root string) *quotable {
	t.Helper()
	code := &quotable{root: root, paths: map[string]bool{}, tests: map[string]map[string]bool{}, events: map[string]bool{}}
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, file)
		if err != nil {
			return err
		}
		if entry.IsDir() && (name == ".git" || name == "journal") {
			return filepath.SkipDir
		}
		code.paths[name] = true
		if entry.IsDir() || path.Ext(name) != ".go" {
			return nil
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		code.addSource(name, string(text))
		return nil
	})
	assert.NilError(t, err)
	return code
}

// addSource adds what a source file has that may be quoted.
func (c *quotable) addSource(name, text string) {
	if strings.HasSuffix(name, "_test.go") {
		for _, match := range declared.FindAllStringSubmatch(text, -1) {
			if c.tests[match[1]] == nil {
				c.tests[match[1]] = map[string]bool{}
			}
			c.tests[match[1]][path.Dir(name)] = true
		}
		return
	}
	if !strings.HasPrefix(name, "internal/tier/") && !strings.HasPrefix(name, "internal/shared/") {
		return
	}
	c.code.WriteString(text)
	for _, match := range logCall.FindAllStringSubmatch(text, -1) {
		if event, err := strconv.Unquote(match[1]); err == nil {
			c.events[event] = true
		}
	}
}

// check reports whether a text has one of the forms of a quotation, and what is wrong with it; empty for nothing.
func (c *quotable) check(text string) (known bool, problem string) {
	if match := quotedLogLine.FindStringSubmatch(text); match != nil {
		return true, c.checkLogLine(match[1])
	}
	if match := quotedTest.FindStringSubmatch(text); match != nil {
		return true, c.checkTest(match[1], match[2])
	}
	if match := quotedFile.FindStringSubmatch(text); match != nil {
		return true, c.checkFile(match[1], match[2])
	}
	if quotedPath.MatchString(text) && !outsideRepository[text] {
		if !c.paths[strings.TrimSuffix(text, "/")] {
			return true, "no such file or folder"
		}
		return true, ""
	}
	return false, ""
}

// checkLogLine looks up the event among the log calls, and the keys of its fields among the string literals.
func (c *quotable) checkLogLine(line string) string {
	event, fields, _ := strings.Cut(line, " … ")
	if !c.events[event] {
		return "no log call has this event"
	}
	for _, match := range quotedLogField.FindAllStringSubmatch(fields, -1) {
		if !strings.Contains(c.code.String(), strconv.Quote(match[1])) {
			return "no log call has the field " + match[1]
		}
	}
	return ""
}

func (c *quotable) checkTest(folder, name string) string {
	for in := range c.tests[name] {
		if folder == "" || in == folder || strings.HasSuffix(in, "/"+folder) {
			return ""
		}
	}
	return "no such test"
}

func (c *quotable) checkFile(name, function string) string {
	found := false
	for file := range c.paths {
		if file != name && !strings.HasSuffix(file, "/"+name) {
			continue
		}
		found = true
		if function == "" {
			return ""
		}
		text, err := os.ReadFile(filepath.Join(c.root, file))
		if err == nil && regexp.MustCompile(`(?m)^func (\([^)]*\) )?`+function+`[\[(]`).Match(text) {
			return ""
		}
	}
	if found {
		return "no function " + function + " in that file"
	}
	return "no such file"
}
