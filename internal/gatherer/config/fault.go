package config

import (
	"fmt"
	"strings"
)

// Fault is what is wrong at one place of a file.
type Fault struct {
	File         string
	Line, Column int
	Field        string // its path, as limits.routes[2].attempts
	Rule         string
}

func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Rule)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Rule)
}

// Faults are all that is wrong with a file, by place.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
