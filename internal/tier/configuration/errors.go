package configuration

import "fmt"

// FieldError says why a configuration cannot be taken, and at which of its fields.
type FieldError struct {
	Field  string // path of the field, such as routes[3].timeoutMs; empty if the error concerns the whole body
	Reason string
}

// Error names the field and the problem.
func (f *FieldError) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

func faultAt(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}
