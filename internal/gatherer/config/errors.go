package config

import (
	"fmt"
	"strings"
)

// FieldError is an error at one position of a file. Its fields are printed as JSON by the check command.
type FieldError struct {
	File         string
	Line, Column int
	Field        string // its path, as limits.routes[2].attempts
	Rule         string
}

func (f FieldError) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Rule)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Field, f.Rule)
}

// FieldErrors are all errors of a file, by position.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
