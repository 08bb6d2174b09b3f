package storage

import "github.com/rotisserie/eris"

// Message is state that can be stored in a Series. Protobuf messages generated with vtprotobuf implement it.
type Message interface {
	MarshalVT() ([]byte, error)
	UnmarshalVT(payload []byte) error
}

// OpenMessage creates a directory, opens a series in it and decodes the newest version into a message. found is false if
// there is no complete version, or if the newest one cannot be decoded.
func OpenMessage(disk Disk, directory, name string, message Message) (series *Series, found bool, err error) {
	if err := disk.MkdirAll(directory); err != nil {
		return nil, false, eris.Wrap(err, name)
	}
	if series, err = Open(disk, directory, name, nil); err != nil {
		return nil, false, err
	}
	payload, found := series.Newest()
	return series, found && message.UnmarshalVT(payload) == nil, nil
}

// SaveMessage encodes a message and saves it as the newest version, with the guarantees of Save.
func (s *Series) SaveMessage(message Message) error {
	payload, err := message.MarshalVT()
	if err != nil {
		return eris.Wrapf(err, "encode %s", s.name)
	}
	return s.Save(payload)
}
