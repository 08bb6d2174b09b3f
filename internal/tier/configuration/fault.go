package configuration

import "fmt"

// Fault says why a configuration cannot be taken, and at which of its fields.
type Fault struct {
	Field   string // as routes[3].timeoutMs; empty where the body as a whole is at fault
	Problem string
}

// Error names the field and the problem.
func (f *Fault) Error() string {
	if f.Field == "" {
		return f.Problem
	}
	return f.Field + ": " + f.Problem
}

func faultAt(field, format string, arguments ...any) error {
	return &Fault{Field: field, Problem: fmt.Sprintf(format, arguments...)}
}
