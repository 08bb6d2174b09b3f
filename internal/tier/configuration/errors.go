package configuration

import "fmt"

// FieldError describes an invalid configuration: the path of the field and the reason.
type FieldError struct {
	Field  string // path of the field, such as routes[3].timeoutMs; empty if the body as a whole is invalid
	Reason string
}

// Error returns the path of the field, if there is one, and the reason.
func (f *FieldError) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

func fieldErrorf(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}
