package configuration

import "fmt"

// FieldError says why a configuration is invalid, and at which field.
type FieldError struct {
	Field  string // path of the field, such as routes[3].timeoutMs; empty if the error concerns the whole body
	Reason string
}

// Error returns the field and the reason.
func (f *FieldError) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

func fieldErrorf(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}
