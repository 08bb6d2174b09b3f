package soak

import (
	"os"
	"path/filepath"
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// Names and sizes of damaged files.
const (
	awaySuffix      = ".away" // of a data folder that is missing for a while
	truncatedLength = 7       // bytes that remain of a file
)

// restartWithDamagedDisk kills a machine and restarts it without its data, or with a damaged file.
func (h *harness) restartWithDamagedDisk(machine *testbed.Machine, fault Fault) bool {
	h.kill(machine)
	if fault.Kind == Wipe {
		_ = machine.Wipe()
	} else if !h.damageFile(machine.Settings.DataDir, fault) {
		h.Count("no file to damage")
	}
	time.Sleep(fault.For)
	return h.launch(machine) == nil
}

// damageFile damages one file of a folder.
func (h *harness) damageFile(folder string, fault Fault) bool {
	var files []string
	_ = filepath.Walk(folder, func(path string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() && info.Size() > truncatedLength {
			files = append(files, path)
		}
		return nil
	})
	if len(files) == 0 {
		return false
	}
	path := files[fault.Other%len(files)]
	h.Logf("%s of %s", fault.Kind, path)
	switch fault.Kind {
	case RemoveFile:
		return os.Remove(path) == nil
	case CorruptFile:
		return corruptFile(path)
	}
	return os.Truncate(path, truncatedLength) == nil
}

// corruptFile flips a bit in the middle of a file.
func corruptFile(path string) bool {
	data, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	data[len(data)/2] ^= 1
	return os.WriteFile(path, data, 0o600) == nil
}

// injectDiskFault gives the disk of a running machine a fault for a while.
func (h *harness) injectDiskFault(machine *testbed.Machine, during time.Duration, fault DiskFault) bool {
	folder := machine.Settings.DataDir
	if !h.plan.Volatile || folder == "" || setDiskFault(folder, fault) != nil {
		return false
	}
	time.Sleep(during)
	clearDiskFault(folder)
	return true
}

// losePowerWithinWrites makes a machine's disk take a part of each write before its sync, and kills the machine then.
func (h *harness) losePowerWithinWrites(machine *testbed.Machine, during time.Duration) bool {
	folder := machine.Settings.DataDir
	if !h.plan.Volatile || folder == "" || setDiskFault(folder, DiskFault{Torn: true}) != nil {
		return false
	}
	time.Sleep(during)
	h.kill(machine)
	clearDiskFault(folder)
	return h.launch(machine) == nil
}

// removeDataFolder moves the data folder of a running machine away for a while: files can be neither created nor renamed
// nor listed meanwhile.
func removeDataFolder(machine *testbed.Machine, during time.Duration) bool {
	folder := machine.Settings.DataDir
	if folder == "" || os.Rename(folder, folder+awaySuffix) != nil {
		return false
	}
	time.Sleep(during)
	return os.Rename(folder+awaySuffix, folder) == nil
}
