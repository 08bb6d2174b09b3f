package configuration

import (
	"math"
	"time"
)

// longestDuration keeps sums of two durations within range.
const longestDuration = time.Duration(math.MaxInt64 / 2)

// The functions below take a value of one type; a null leaves the default.

func (r *reader) textInto(into *string) error {
	if r.null() {
		return nil
	}
	if r.next() != '"' {
		return r.fault("want a string")
	}
	value, err := r.word()
	*into = value
	return err
}

func (r *reader) booleanInto(into *bool) error {
	if r.null() {
		return nil
	}
	value, err := r.boolean()
	*into = value
	return err
}

func (r *reader) numberInto(into *float64) error {
	if r.null() {
		return nil
	}
	value, err := r.number()
	*into = value
	return err
}

func (r *reader) wholeInto(into *uint64) error {
	if r.null() {
		return nil
	}
	value, err := r.whole()
	*into = value
	return err
}

// intInto rounds down; a count of stores or bytes is never large enough to lose digits.
func (r *reader) intInto(into *int) error {
	if r.null() {
		return nil
	}
	value, err := r.number()
	if err != nil {
		return err
	}
	if value < 0 || value > math.MaxInt32 {
		return r.fault("%v is not within 0 to %d", value, math.MaxInt32)
	}
	*into = int(value)
	return nil
}

func (r *reader) durationInto(into *time.Duration, unit time.Duration) error {
	if r.null() {
		return nil
	}
	value, err := r.number()
	if err != nil {
		return err
	}
	if value < 0 {
		return r.fault("%v is negative", value)
	}
	*into = time.Duration(min(value*float64(unit), float64(longestDuration)))
	return nil
}
