package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// testName names a test, or a package where the test is empty.
type testName struct{ pkg, test string }

// event is one line of "go test -json".
type event struct {
	Action      string
	Package     string
	ImportPath  string // of build events
	Test        string
	Output      string
	FailedBuild string
}

// verdict is what the events come to.
type verdict struct {
	red      []testName // failed and known
	failed   []testName // failed and not known
	passed   int
	unparsed bool // lines that are no events: the go command itself failed
}

const longestLine = 16 << 20

// read prints the tests' output and collects their results.
func read(input io.Reader, out io.Writer, known map[testName]bool) (*verdict, error) {
	collected := &verdict{}
	blamed := make(map[string]bool) // packages with a failed test
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		next := event{}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if json.Unmarshal(line, &next) != nil {
			fmt.Fprintf(out, "%s\n", line)
			collected.unparsed = true
			continue
		}
		collected.take(next, out, known, blamed)
	}
	return collected, lines.Err()
}

func (v *verdict) take(next event, out io.Writer, known map[testName]bool, blamed map[string]bool) {
	name := testName{next.Package, next.Test}
	switch next.Action {
	case "output", "build-output":
		if !strings.HasPrefix(next.Output, "=== ") {
			fmt.Fprint(out, next.Output)
		}
	case "pass":
		if next.Test != "" {
			v.passed++
		}
	case "fail":
		switch {
		case next.Test == "" && blamed[next.Package]:
			// the package failed by the tests counted already
		case isKnown(known, name):
			blamed[next.Package] = true
			v.red = append(v.red, name)
		default:
			blamed[next.Package] = true
			v.failed = append(v.failed, name)
		}
	}
}

// isKnown says whether a test or one that it is part of is listed.
func isKnown(known map[testName]bool, name testName) bool {
	if name.test == "" {
		return false // a package that fails without a failed test did not build, or panicked
	}
	for {
		if known[name] {
			return true
		}
		cut := strings.LastIndexByte(name.test, '/')
		if cut < 0 {
			return false
		}
		name.test = name.test[:cut]
	}
}

// print tells the verdict and says whether it is good. status is the exit status of go test.
func (v *verdict) print(out io.Writer, status int) bool {
	fmt.Fprintf(out, "%d tests passed, %d failed, %d known red\n", v.passed, len(v.failed), len(v.red))
	for _, name := range v.red {
		fmt.Fprintf(out, "KNOWN RED %s %s\n", name.pkg, name.test)
	}
	for _, name := range v.failed {
		fmt.Fprintf(out, "FAILED %s %s\n", name.pkg, name.test)
	}
	if status != 0 && len(v.red) == 0 && len(v.failed) == 0 {
		fmt.Fprintf(out, "go test ended with %d and named no test\n", status)
		return false
	}
	return len(v.failed) == 0 && !v.unparsed
}
