package configuration

import (
	"math"
	"time"
)

// maxDuration keeps the sum of two durations within range.
const maxDuration = time.Duration(math.MaxInt64 / 2)

// The functions below parse a value of one type. A null leaves the default in place.

func (p *parser) stringInto(into *string) error {
	if p.acceptNull() {
		return nil
	}
	if p.peek() != '"' {
		return p.errorf("want a string")
	}
	value, err := p.parseString()
	*into = value
	return err
}

func (p *parser) boolInto(into *bool) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseBool()
	*into = value
	return err
}

func (p *parser) floatInto(into *float64) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseFloat()
	*into = value
	return err
}

func (p *parser) uintInto(into *uint64) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseUint()
	*into = value
	return err
}

// intInto truncates a fraction. Counts of stores or bytes are never large enough to lose digits as a float64.
func (p *parser) intInto(into *int) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseFloat()
	if err != nil {
		return err
	}
	if value < 0 || value > math.MaxInt32 {
		return p.errorf("%v is not within 0 to %d", value, math.MaxInt32)
	}
	*into = int(value)
	return nil
}

func (p *parser) durationInto(into *time.Duration, unit time.Duration) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseFloat()
	if err != nil {
		return err
	}
	if value < 0 {
		return p.errorf("%v is negative", value)
	}
	*into = time.Duration(min(value*float64(unit), float64(maxDuration)))
	return nil
}
