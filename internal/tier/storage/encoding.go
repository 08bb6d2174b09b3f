package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// Layout of a version file; see the package documentation.
const (
	magic       = 0x50545631 // "PTV1"
	headerBytes = 24
)

// Errors of decode.
var (
	errNotVersionFile = eris.New("not a version file")
	errWrongLength    = eris.New("version file has the wrong length")
	errWrongChecksum  = eris.New("version file has the wrong checksum")
	errWrongVersion   = eris.New("version file has another version number than its name")
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func encode(version uint64, payload []byte) []byte {
	data := make([]byte, headerBytes+len(payload))
	binary.BigEndian.PutUint32(data, magic)
	binary.BigEndian.PutUint64(data[8:], version)
	binary.BigEndian.PutUint64(data[16:], uint64(len(payload)))
	copy(data[headerBytes:], payload)
	binary.BigEndian.PutUint32(data[4:], crc32.Checksum(data[8:], crcTable))
	return data
}

// decode returns the payload of a version file, or an error if the file is not a complete copy of that version.
func decode(data []byte, version uint64) ([]byte, error) {
	switch {
	case len(data) < headerBytes || binary.BigEndian.Uint32(data) != magic:
		return nil, errNotVersionFile
	case binary.BigEndian.Uint64(data[16:]) != uint64(len(data)-headerBytes):
		return nil, errWrongLength
	case binary.BigEndian.Uint32(data[4:]) != crc32.Checksum(data[8:], crcTable):
		return nil, errWrongChecksum
	case binary.BigEndian.Uint64(data[8:]) != version:
		return nil, errWrongVersion
	}
	return data[headerBytes:], nil
}
