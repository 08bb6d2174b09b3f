package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// Layout of a version's file; see the package documentation.
const (
	magic       = 0x50545631 // "PTV1"
	headerBytes = 24
)

// Reasons why a file is not a complete version.
var (
	errNoVersion     = eris.New("not a version file")
	errWrongLength   = eris.New("version file has the wrong length")
	errWrongChecksum = eris.New("version file has the wrong checksum")
	errWrongVersion  = eris.New("version file has another version's name")
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

func encode(version uint64, payload []byte) []byte {
	data := make([]byte, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data, magic)
	binary.BigEndian.PutUint64(data[8:], version)
	binary.BigEndian.PutUint64(data[16:], uint64(len(payload)))
	copy(data[headerBytes:], payload)
	binary.BigEndian.PutUint32(data[4:], crc32.Checksum(data[8:], checksums))
	return data
}

// decode returns the payload of a version's file, or the reason why it is not complete.
func decode(data []byte, version uint64) ([]byte, error) {
	switch {
	case len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic:
		return nil, errNoVersion
	case binary.BigEndian.Uint64(data[16:]) != uint64(len(data)-headerBytes):
		return nil, errWrongLength
	case binary.BigEndian.Uint32(data[4:]) != crc32.Checksum(data[8:], checksums):
		return nil, errWrongChecksum
	case binary.BigEndian.Uint64(data[8:]) != version:
		return nil, errWrongVersion
	}
	return data[headerBytes:], nil
}
