// Command cicheck reads the output of "go test -json" from standard input, prints it as text, and decides whether CI passes:
// every failed test fails it, except those that a file lists as known to fail, which are printed.
//
// The file has one test per line: its package, a space and its name. A # begins a comment. A missing file lists no test.
// Cicheck exits with 0 if CI passes, with 1 if not, and with 2 if its input or the file cannot be read.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

func main() {
	list := flag.String("known-red", "KNOWN-RED.txt", "file of tests that are known to fail")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	known, err := readKnownRed(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cicheck:", err)
		os.Exit(2)
	}
	results, err := read(os.Stdin, os.Stdout, known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cicheck:", err)
		os.Exit(2)
	}
	if !results.print(os.Stdout, *status) {
		os.Exit(1)
	}
}

// readKnownRed reads the file of tests that are known to fail.
func readKnownRed(path string) (map[testName]bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known, err := parseKnownRed(file)
	return known, errors.Join(err, file.Close())
}

func parseKnownRed(text io.Reader) (map[testName]bool, error) {
	known := make(map[testName]bool)
	lines := bufio.NewScanner(text)
	for number := 1; lines.Scan(); number++ {
		entry, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(entry)
		switch len(words) {
		case 0:
		case 2:
			known[testName{words[0], words[1]}] = true
		default:
			return nil, fmt.Errorf("known red tests, line %d: want a package and a test's name", number)
		}
	}
	return known, lines.Err()
}
