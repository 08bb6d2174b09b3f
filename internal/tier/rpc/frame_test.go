package rpc

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestInvalidFrameLengthAllocatesLittle(t *testing.T) {
	payload, err := readPayload(strings.NewReader("short"), maxFrameBytes/2)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, len(payload) <= maxPreallocatedBytes)
	var header [headerBytes]byte
	_, err = readFrame(strings.NewReader("\xff\xff\xff\xff garbage"), &header)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = readFrame(strings.NewReader("\x00\x00\x00\x01 garbage"), &header)
	assert.ErrorIs(t, err, ErrTooLarge)
}
