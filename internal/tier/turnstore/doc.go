// Package turnstore is the turn store: the role that keeps the records of conversation turns and the claims on
// programs' token budgets, replicated over several stores and durable on their disks.
//
// # Durability
//
// A store holds all of its records and budgets in memory and appends every change to a write-ahead log. All changes
// that arrive while one sync is running are made durable by the next (group sync). A call is acknowledged only once all
// batches with its changes are synced. A repeated call waits for the batch of the call that first made the change.
// Clients (packages turns and budget) wait for f+1 such acknowledgements from the replica set of a key, where f is the
// configured fault tolerance. The proxy sends the last chunk of a turn's response only after that, so a turn that a
// client has seen complete is on f+1 disks.
//
// When a write to the disk fails, the log accepts nothing until a compaction has written everything that is in memory
// to a new file. A sync that takes longer than stallThreshold makes new writes fail at once, so that callers turn to
// another replica.
//
// # Files in the data folder
//
//	segment-NUMBER    batches of frames, appended and synced one after the other
//	marks-NUMBER      offsets up to which that segment was synced (see offsetFile)
//	merged-NUMBER     compacted file: replaces all segments up to NUMBER and all earlier compacted files
//	merged-NUMBER.part  a compacted file that is being written; removed at the next start
//	newest-VERSION    number of the newest compacted file
//	identity-VERSION  the store's identity
//	membership-VERSION  the newest membership whose rebalance may have begun
//
// NUMBER and VERSION have 16 hexadecimal digits. Segments and compacted files consist of a magic number and frames (see
// frame.go); the last three are versioned files of package storage. The names "marks" and "merged" are kept for
// compatibility with files on disk; the code calls these files offsets files and compacted files.
//
// # Recovery
//
// Open reads all compacted files and segments. Compacted files come first, then segments in the order of their
// numbers: an extension of retention applies only to a record that was read before it. Applying a frame again changes
// nothing, so a file that a compacted file has already replaced does no harm. What was read is synced before it is
// served, because from then on it counts as durable.
//
// A segment that ends in an incomplete frame is normal after a crash, as long as the offsets file does not say that the
// bytes were synced: nothing in an unsynced batch was acknowledged. A store whose disk has lost synced bytes, a
// compacted file or the membership takes a new identity, once, and logs "disk lost synced data: store restarts with a
// new identity". The placement role then treats it as a new member, and the other members transfer its records to it.
// A store with an empty disk also takes a new identity.
//
// # Rebalancing
//
// The placement role publishes a membership with an epoch, the current members and, while records move, the previous
// ones. As long as there are previous members, clients need a quorum of both sets. A store that learns of a newer epoch
// rejects calls of older ones, saves the membership, and then (if it is a previous member) runs a rebalance: it offers
// each key whose replica set has changed to the current replica set, and sends it to further members of that set until
// a write quorum has it. A store reports the epoch to the coordinators once all of its keys are durable there; the
// placement role drops the previous members when enough stores have reported. See Rebalancer.
//
// # Retention
//
// A record expires a grace period after its own retention; saving a turn extends the retention of the turns that it
// continues, so that a conversation is kept as long as its last turn. The proxy sends the extensions once. Each store that
// holds a turn then makes sure that the replicas of the turn before have them, see RetentionPropagator. What has expired is
// removed only while all other members are reachable, or when the store is full, see Expirer. A program's claims expire budgetRetention after
// its last claim. Compaction drops expired entries from the disk.
//
// # Log lines for operators
//
//	data folder recovered          at the start; an identity other than before means that the disk was empty (records is
//	                               0) or had lost synced data (other values)
//	disk lost synced data: ...     synced files are damaged or missing; the store is a new member from here on
//	membership changed             the store has learned a newer epoch; rebalance follows if it is a previous member
//	rebalance complete             its keys are durable on the current members
//	cannot save membership         the rebalance of that epoch does not start before the disk accepts writes
//	compaction failed              the compacted file could not be written; it is retried, and segments are kept meanwhile
//
// The lease holder among the coordinators logs "turn store members changed" when it replaces a store that has a new
// identity, and "redundancy restored" when the rebalance has ended.
package turnstore
