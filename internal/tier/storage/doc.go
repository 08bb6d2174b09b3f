// Package storage keeps small pieces of state on disk. Each piece is a Series, which is replaced as a whole, one file a
// version.
//
// # Durability
//
// Series.Save replaces version N by N+1 in these steps:
//
//  1. write <name>-<N+1>.part, a temporary file, and sync it;
//  2. rename it to <name>-<N+1>, which publishes the version at once or not at all;
//  3. sync the directory, so that the new name survives a loss of power; from here on the version is durable;
//  4. remove <name>-<N>.
//
// A process that ends, or a machine that loses power, after any step leaves at least one complete version. Open removes
// temporary files, returns the newest version that passes its checksum, and syncs the directory before: a process that
// was killed between steps 2 and 3 may have left a name that is visible and not yet durable, and the caller may act on
// what it reads.
//
// A Series never uses a version number twice, also when a save has failed. So a file whose sync has failed, after which
// the kernel may drop its pages, is never written to again.
//
// If a published version fails its checksum, the disk has lost what it acknowledged, and Series.Corrupted reports it. What
// that means is up to the caller: an acceptor of the register, for one, starts anew under another identity.
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
