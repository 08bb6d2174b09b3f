package storage

import "github.com/rotisserie/eris"

// Message is a piece of state in its encoded form.
type Message interface {
	MarshalVT() ([]byte, error)
	UnmarshalVT(payload []byte) error
}

// OpenMessage makes a folder, opens a series in it and reads the newest version into a message. Found is false where there
// is none that is whole.
func OpenMessage(disk Disk, folder, name string, newest Message) (series *Series, found bool, err error) {
	if err := disk.MkdirAll(folder); err != nil {
		return nil, false, eris.Wrap(err, name)
	}
	if series, err = Open(disk, folder, name, nil); err != nil {
		return nil, false, err
	}
	payload, found := series.Newest()
	return series, found && newest.UnmarshalVT(payload) == nil, nil
}

// SaveMessage makes a message the newest version, as Save does.
func (s *Series) SaveMessage(message Message) error {
	payload, err := message.MarshalVT()
	if err != nil {
		return eris.Wrapf(err, "encode %s", s.name)
	}
	return s.Save(payload)
}
