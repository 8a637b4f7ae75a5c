package raftlog

import (
	"errors"
	"strings"
)

// UnusableError is returned by Open when the files of a folder cannot be used: they are damaged, truncated, incomplete
// or of another format, the database is older than its marker, or the database cannot be opened, for example because
// another process has it open. A folder that was restored as a whole from a copy is not detected.
//
// A member that has lost its log may have acknowledged votes and entries that it no longer knows, so it must not rejoin
// under its number: it must be replaced by a member with a new number.
type UnusableError struct {
	Path   string // path of the file; empty if the error does not concern a single file
	Reason string // what is wrong with the file; may be empty
	Err    error  // the cause; nil if Reason is sufficient
}

// Error returns the path, the reason and the cause.
func (e *UnusableError) Error() string {
	var parts []string
	if e.Path != "" {
		parts = append(parts, e.Path)
	}
	if e.Reason != "" {
		parts = append(parts, e.Reason)
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	return "raft log is unusable: " + strings.Join(parts, ": ")
}

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Err }

var (
	// errChecksumMismatch is returned when a value differs from the one that was written.
	errChecksumMismatch = errors.New("checksum mismatch")
	// errTruncated is returned when a file is shorter than its meta pages require.
	errTruncated = errors.New("file is truncated")
)
