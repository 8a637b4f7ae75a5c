package raftlog

import (
	"errors"
	"strings"
)

// UnusableError says why the files of a folder cannot be used: damaged, cut short, incomplete, of another format, or a
// database that is older than the marker beside it. Open returns it. A folder that was put back as a whole from a copy is
// not detected. A member without its log may have promised what it no longer knows, so
// that it must not go on under its number: it is replaced by a member with a new one.
type UnusableError struct {
	Path   string // of the file; empty if the reason is none of one file's
	Reason string // what is wrong with it
	Err    error  // what was found; nil if the reason says it all
}

// Error names the file, the reason and the cause.
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
	return "the log can't be gone on with: " + strings.Join(parts, ": ")
}

// Unwrap gives the cause.
func (e *UnusableError) Unwrap() error { return e.Err }

var (
	// errChecksum says that a value is not the one that was written.
	errChecksum = errors.New("its checksum does not match")
	// errShortFile says that a file ends before the pages that it speaks of.
	errShortFile = errors.New("the file is cut short")
)
