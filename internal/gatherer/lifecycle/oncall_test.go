package lifecycle

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each log event of the code is described on the page for on-call staff.
func TestEventsOnCall(t *testing.T) {
	page, err := os.ReadFile("../../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	event := regexp.MustCompile(`(?i)(?:log|logger)\.(?:Debug|Info|Warn|Error)\("([^"]*)"`)
	found := 0
	for _, root := range []string{"..", "../../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, m := range event.FindAllStringSubmatch(string(text), -1) {
				found++
				if !strings.Contains(string(page), "`"+m[1]+"`") {
					t.Errorf("%s: the event %q is not in docs/oncall.md", path, m[1])
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if found < 30 {
		t.Errorf("%d events found", found)
	}
}
