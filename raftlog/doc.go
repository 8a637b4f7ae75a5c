// Package raftlog persists what a member of a Raft group has promised: its term and vote, its log entries and its
// snapshot. Its one job is durability: what Save has returned for survives a crash, and a folder whose content is not
// provably complete is refused at the start rather than read as less than was promised.
//
// The node of package cluster is the caller. It opens the Log of its data folder, starts its member from the SavedState
// that Open returns, and saves a Batch before it sends the messages that depend on it:
//
//	log, saved, err := raftlog.Open(folder)
//	...
//	err = log.Save(raftlog.Batch{HardState: hardState, Entries: entries})
//
// # Files
//
// A folder has two files. raft.db is a bbolt database with two buckets: "meta" (format, identity of the disk, hard
// state, snapshot, number of the last batch) and "entries" (the entries by index, big-endian). Each value has a checksum
// before it. The file witness is the marker of the last batch: it has that batch's number a second time.
//
// # Failures that are guarded against
//
//   - A bit turned in a value: the value's checksum does not match (checksum.go).
//   - A file cut short: bbolt would read behind the end of the mapped file, which ends the process. The number of pages
//     is compared with the size of the file before bbolt sees it (pages.go).
//   - A damaged page: bbolt panics or reads outside the mapped file. Open turns both into an error (log.go).
//   - A damaged root page: bbolt silently falls back to the root page of the transaction before, which would forget a
//     vote. The number of the last batch is then lower than the marker's (witness.go).
//   - One of the two files is gone: the folder is not taken for a new one (log.go).
//   - raft.db was put back from an older copy, and the file witness was not: as with a damaged root page (witness.go). A
//     witness that was put back alone does no harm: the database has all that was promised.
//   - A failed sync: nobody knows what the disk holds, so that every later Save returns the same error (log.go).
//
// What is not detected: both files put back from the same older copy, or a copy of the whole folder in use by a second
// process. Such a copy has the same identity and agrees with itself, and the member forgets what it promised since.
// Operators must not do it (docs/raft.md).
package raftlog
