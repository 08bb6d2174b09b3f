package turnstore

import (
	"encoding/binary"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// mergedNumberSeries holds the number of the newest merged file (8 bytes, big endian). It is saved before what that file
// replaces is removed, so that a merged file that is gone whole is known to be lost. Builds before pass it over; they may
// leave a higher merged file than it tells.
const mergedNumberSeries = "newest"

// readMergedNumber returns 0 where no merged file was ever finished, or where the number itself is lost.
func readMergedNumber(disk storage.Disk, folder string) (uint64, error) {
	series, err := storage.Open(disk, folder, mergedNumberSeries, nil)
	if err != nil {
		return 0, err
	}
	payload, found := series.Newest()
	if !found || len(payload) != 8 {
		return 0, nil
	}
	return binary.BigEndian.Uint64(payload), nil
}

func saveMergedNumber(disk storage.Disk, folder string, number uint64, faults *failpoint.Points) error {
	series, err := storage.Open(disk, folder, mergedNumberSeries, faults)
	if err != nil {
		return err
	}
	return eris.Wrap(series.Save(binary.BigEndian.AppendUint64(nil, number)), "number of the merged file")
}
