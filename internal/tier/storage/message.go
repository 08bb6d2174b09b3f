package storage

import "github.com/rotisserie/eris"

// Message is a piece of state that can be encoded; generated protobuf messages are.
type Message interface {
	MarshalVT() ([]byte, error)
	UnmarshalVT(payload []byte) error
}

// OpenMessage makes a directory, opens a series in it and decodes the newest version into a message. Found is false if
// there is no complete version, or if it cannot be decoded.
func OpenMessage(disk Disk, directory, name string, newest Message) (series *Series, found bool, err error) {
	if err := disk.MkdirAll(directory); err != nil {
		return nil, false, eris.Wrap(err, name)
	}
	if series, err = Open(disk, directory, name, nil); err != nil {
		return nil, false, err
	}
	payload, found := series.Newest()
	return series, found && newest.UnmarshalVT(payload) == nil, nil
}

// SaveMessage encodes a message and makes it the newest version, with the guarantees of Save.
func (s *Series) SaveMessage(message Message) error {
	payload, err := message.MarshalVT()
	if err != nil {
		return eris.Wrapf(err, "encode %s", s.name)
	}
	return s.Save(payload)
}
