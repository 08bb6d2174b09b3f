package configuration

import (
	"math"
	"time"
)

// maxDuration is the largest duration of a configuration; the sum of two does not overflow.
const maxDuration = time.Duration(math.MaxInt64 / 2)

// The decode methods parse a value of one type and store it in target. A null keeps the default that target already has.

func (p *parser) decodeString(target *string) error {
	if p.acceptNull() {
		return nil
	}
	if p.peek() != '"' {
		return p.errorf("want a string")
	}
	value, err := p.parseString()
	*target = value
	return err
}

func (p *parser) decodeBool(target *bool) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseBool()
	*target = value
	return err
}

func (p *parser) decodeFloat(target *float64) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseFloat()
	*target = value
	return err
}

func (p *parser) decodeUint(target *uint64) error {
	if p.acceptNull() {
		return nil
	}
	value, err := p.parseUint()
	*target = value
	return err
}

// decodeInt truncates a fractional part. float64 represents every integer of the accepted range exactly.
func (p *parser) decodeInt(target *int) error {
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
	*target = int(value)
	return nil
}

func (p *parser) decodeDuration(target *time.Duration, unit time.Duration) error {
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
	*target = time.Duration(min(value*float64(unit), float64(maxDuration)))
	return nil
}
