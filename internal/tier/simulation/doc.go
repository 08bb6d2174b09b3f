// Package simulation provides a deterministic network, disks and machines for tests of the control plane. Everything
// random is drawn from generators the test seeds, and all waiting uses the clock of the testing/synctest bubble the
// test runs in, so a seed reproduces a run.
//
// A test creates a Network, adds Machines to it, and starts an Incarnation (one process) on each. The code under test
// gets the incarnation's Caller, its Server and the storage.Disk that Mount returns. Faults are injected from outside:
// Network.Partition and Network.SetConditions (delay, loss, late and duplicate delivery), Machine.Kill, PowerLoss,
// Wipe, Freeze and Thaw, and Disk.SetFault, CorruptMatching and RemoveMatching.
//
// A Disk distinguishes what is written from what is durable, for the content of files and for names in folders
// separately, as POSIX file systems do: content is durable after a sync of the file, a created, renamed or removed
// name after a sync of its folder. No production package imports simulation.
package simulation
