package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// testName names a test, or a package if the test is empty.
type testName struct{ pkg, test string }

// event is one line of "go test -json", see "go doc test2json".
type event struct {
	Action      string
	Package     string
	ImportPath  string // of build events
	Test        string
	Output      string
	FailedBuild string
}

// summary is the result of a test run.
type summary struct {
	knownRed []testName // failed, and known to
	failed   []testName // failed, and not known to
	passed   int        // tests
	unparsed bool       // there were lines that are no events: the go command itself failed
}

// maxLineBytes is the size of the longest event that is read.
const maxLineBytes = 16 << 20

// read prints the tests' output and collects their results.
func read(input io.Reader, out io.Writer, known map[testName]bool) (*summary, error) {
	results := &summary{}
	failedPackages := make(map[string]bool) // packages with a failed test
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		next := event{}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if json.Unmarshal(line, &next) != nil {
			_, _ = fmt.Fprintf(out, "%s\n", line)
			results.unparsed = true
			continue
		}
		results.add(next, out, known, failedPackages)
	}
	return results, lines.Err()
}

// add prints and counts one event.
func (s *summary) add(next event, out io.Writer, known map[testName]bool, failedPackages map[string]bool) {
	name := testName{next.Package, next.Test}
	switch next.Action {
	case "output", "build-output":
		if !strings.HasPrefix(next.Output, "=== ") {
			_, _ = fmt.Fprint(out, next.Output)
		}
	case "pass":
		if next.Test != "" {
			s.passed++
		}
	case "fail":
		switch {
		case next.Test == "" && failedPackages[next.Package]:
			// the package failed because of tests that are counted already
		case isKnown(known, name):
			failedPackages[next.Package] = true
			s.knownRed = append(s.knownRed, name)
		default:
			failedPackages[next.Package] = true
			s.failed = append(s.failed, name)
		}
	}
}

// isKnown reports whether a test, or a test that it is a subtest of, is listed.
func isKnown(known map[testName]bool, name testName) bool {
	if name.test == "" {
		return false // a package that fails without a failed test did not build, or panicked
	}
	for {
		if known[name] {
			return true
		}
		separator := strings.LastIndexByte(name.test, '/')
		if separator < 0 {
			return false
		}
		name.test = name.test[:separator]
	}
}

// print prints the summary and reports whether CI passes. Status is the exit status of go test.
func (s *summary) print(out io.Writer, status int) bool {
	_, _ = fmt.Fprintf(out, "%d tests passed, %d failed, %d known red\n", s.passed, len(s.failed), len(s.knownRed))
	for _, name := range s.knownRed {
		_, _ = fmt.Fprintf(out, "KNOWN RED %s %s\n", name.pkg, name.test)
	}
	for _, name := range s.failed {
		_, _ = fmt.Fprintf(out, "FAILED %s %s\n", name.pkg, name.test)
	}
	if status != 0 && len(s.knownRed) == 0 && len(s.failed) == 0 {
		_, _ = fmt.Fprintf(out, "go test ended with %d and named no test\n", status)
		return false
	}
	return len(s.failed) == 0 && !s.unparsed
}
