// Package raftlog persists the state of a Raft group's member: its term and vote, its log entries and its snapshot. A
// batch survives a crash once Save has returned nil. Open rejects a folder whose content is not provably complete,
// since a member that restarts with less than it acknowledged could vote twice in a term or lose a committed entry.
//
// The caller is the node of package cluster. It opens the Log in its data folder, starts its member from the SavedState
// that Open returns, and saves each Batch before it sends the messages that depend on it:
//
//	log, saved, err := raftlog.Open(folder)
//	...
//	err = log.Save(raftlog.Batch{HardState: hardState, Entries: entries})
//
// # Files
//
// A folder contains two files. raft.db is a bbolt database with two buckets: "meta" (format, identity of the disk, hard
// state, snapshot, number of the last batch) and "entries" (the entries by index, big-endian). Each value is prefixed
// with a checksum. The file witness is the last-batch marker: it stores the number of the last batch a second time.
//
// # Failures that are guarded against
//
//   - A flipped bit in a value: the value's checksum does not match (checksum.go).
//   - A truncated file: bbolt would read past the end of the mapped file, which kills the process. The number of pages
//     is compared with the size of the file before bbolt opens it (pages.go).
//   - A damaged page: bbolt panics or reads outside the mapped file. Open turns both into an error (log.go).
//   - A damaged meta page: bbolt silently falls back to the meta page of the previous transaction, which would lose a
//     vote. The number of the last batch is then lower than the marker's (witness.go).
//   - A missing file: a folder with only one of the two files is not treated as a new one (log.go).
//   - raft.db restored from an older copy without the file witness: detected like a damaged meta page (witness.go).
//     Restoring only the witness is harmless: the database contains everything that was acknowledged.
//   - A failed sync: the content of the disk is unknown, so every later Save returns the same error (log.go).
//
// Two cases are not detected: both files restored from the same older copy, and a copy of the whole folder in use by a
// second process. Such a copy has the same identity and is consistent, and the member loses what it acknowledged since
// the copy was made. Operators must not do either (docs/raft.md).
package raftlog
