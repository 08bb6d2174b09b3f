// Package storage keeps small pieces of state durably on disk. Each is a Series of versions: every save writes the whole
// state to a new file and then removes the file of the previous version.
//
// # Durability
//
// Series.Save replaces version N by N+1 in these steps:
//
//  1. write <name>-<N+1>.part, a temporary file, and sync it;
//  2. rename it to <name>-<N+1>, which publishes the version atomically;
//  3. sync the directory, so that the new name survives a loss of power; from then on the version is durable;
//  4. remove <name>-<N>.
//
// If the process ends or the machine loses power during these steps, at least one complete version remains. Open removes
// temporary files and reads the newest version that passes its checksum. It syncs the directory before it returns that
// version: a process that was killed between steps 2 and 3 may have left a file whose name is visible but not yet durable,
// and the caller may act on its content.
//
// A Series never reuses a version number, even after a failed save. A file whose sync failed is therefore never written
// again; the kernel may have dropped its unwritten pages.
//
// If a published version fails its checksum, the disk has lost data that it had acknowledged, and Series.Corrupted reports
// this. The caller decides how to recover: an acceptor of the register, for example, starts again with a new identity.
//
// # File format
//
// Numbers are big endian:
//
//	bytes 0-3    magic
//	bytes 4-7    CRC-32C of all that follows
//	bytes 8-15   version
//	bytes 16-23  length of the payload
//	bytes 24-    payload
package storage
