// Command cicheck prints what "go test -json" reports on its input and gives the verdict: every failure counts but
// those of tests that a file lists as known to be red, which are printed.
//
// The file has one test a line: its package, a space and its name; text behind # is a remark. No file, no exceptions.
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
	list := flag.String("known-red", "KNOWN-RED.txt", "file of tests that may fail")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	known, err := readKnownRed(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cicheck:", err)
		os.Exit(2)
	}
	verdict, err := read(os.Stdin, os.Stdout, known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cicheck:", err)
		os.Exit(2)
	}
	if !verdict.print(os.Stdout, *status) {
		os.Exit(1)
	}
}

func readKnownRed(path string) (map[testName]bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseKnownRed(file)
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
