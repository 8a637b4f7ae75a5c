package cluster

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Errors of a member or a node that cannot complete a request now.
var (
	// ErrNoLeader is returned when no leader is known for a proposal, or when no leader confirmed a read in time. The
	// proposal may have been committed nevertheless; see Node.Propose.
	ErrNoLeader = errors.New("no leader is known or it did not respond: try again; a majority of the members may be unreachable")
	// ErrTooManyReads is returned by Member.RequestReadIndex when maxPendingReads reads are pending. A node retries, and
	// returns ErrNoLeader when the time is up.
	ErrTooManyReads = errors.New("too many pending reads")
	// ErrStopped is returned when Node.Run has returned or is about to return.
	ErrStopped = status.Error(codes.Unavailable, "the member has stopped")
	// ErrUnknownOutcome is returned when a proposal got no result: it may or may not have been committed.
	ErrUnknownOutcome = status.Error(codes.DeadlineExceeded, "no result: the proposal may or may not have been committed; the same proposal may be repeated")
)

// Reasons to reject a command. Reasons with values are the types below. Their texts are part of Result, which is stored
// in the state and must be the same at all members, also at members of earlier releases: the texts must not change.
var (
	// ErrUnreadableCommand rejects a log entry that is not a command in JSON.
	ErrUnreadableCommand = errors.New("it can't be read")
	// ErrOlderProposal rejects a proposal if a later proposal of the same client was applied before.
	ErrOlderProposal = errors.New("a later proposal of this client came first")
	// ErrNoTextFormat rejects a full text if the state has no TextFormat.
	ErrNoTextFormat = errors.New("no format of texts is known here")
	// ErrNoAddress rejects a CommandSetAddress without a member or an address, or with an address that is too long.
	ErrNoAddress = errors.New("a member's number and address are needed")
	// ErrRecordRevisionsDisabled rejects a CommandRecords in a group that began with full texts, until CommandSetFormat.
	ErrRecordRevisionsDisabled = errors.New("the group does not count revisions of records yet: its leader has it do so within seconds, try again")
)

// NameSizeError rejects a command without a client, or with a client, operator, reason or identity that is too long.
type NameSizeError struct {
	Field      string // of the command: Client, By, Why or Identity
	Bytes      int    // 0 if the value is missing
	LimitBytes int    // of this field
}

// Error returns the limit of names for every field: the text is part of a result that must be the same at all members,
// also at members of the previous release.
func (e *NameSizeError) Error() string {
	return fmt.Sprintf("a name is missing or over %d bytes", maxNameBytes)
}

// TextSizeError rejects a full text that is too long.
type TextSizeError struct{ Bytes, LimitBytes int }

// Error returns the size and the limit.
func (e *TextSizeError) Error() string {
	return fmt.Sprintf("a text of %d bytes, %d at most", e.Bytes, e.LimitBytes)
}

// TextChangesError rejects a full text that changes too many records.
type TextChangesError struct{ Records, Limit int }

// Error returns the number of records and the limit.
func (e *TextChangesError) Error() string {
	return fmt.Sprintf("the text changes %d records, %d at most: change records by transactions", e.Records, e.Limit)
}

// UnknownCommandError rejects a command of a kind that this program does not know.
type UnknownCommandError struct{ Kind CommandKind }

// Error returns the kind.
func (e *UnknownCommandError) Error() string {
	return fmt.Sprintf("a command %q is not known", e.Kind)
}

// StaleBaseError rejects a command whose Base is not the version in effect.
type StaleBaseError struct{ Base, InEffect uint64 }

// Error returns both versions.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("it changes version %d, and version %d is in force: look at what came between", e.Base, e.InEffect)
}

// VersionNotRetainedError rejects a rollback to a version that is not in the list of retained versions.
type VersionNotRetainedError struct{ Version uint64 }

// Error returns the version.
func (e *VersionNotRetainedError) Error() string {
	return fmt.Sprintf("version %d is not kept", e.Version)
}

// ChangesNotRetainedError rejects a rollback if the changes since the version are no longer in the history of records.
type ChangesNotRetainedError struct{ Version uint64 }

// Error returns the version.
func (e *ChangesNotRetainedError) Error() string {
	return fmt.Sprintf("the changes since version %d are not kept", e.Version)
}

// RollBackError rejects a rollback to a version whose configuration violates a rule in the current state, for example
// because it refers to a node that no longer exists.
type RollBackError struct {
	Version uint64
	Err     error // an error of records.Store.Apply
}

// Error returns the version and the violated rule.
func (e *RollBackError) Error() string {
	return fmt.Sprintf("version %d can't be used any more: %v", e.Version, e.Err)
}

// Unwrap returns the error of the violated rule.
func (e *RollBackError) Unwrap() error { return e.Err }

// DiskMismatchError rejects the registration of a disk if another disk is registered for the member.
type DiskMismatchError struct{ Member uint64 }

// Error returns the member and the remedy.
func (e *DiskMismatchError) Error() string {
	return fmt.Sprintf("member %d is known by another disk: remove it and add it under a new number", e.Member)
}

// NotLeaderError is returned for a request that must be sent to the leader.
type NotLeaderError struct {
	Request string // the request as a noun phrase, such as "a membership change"
	Leader  uint64 // 0 if unknown
}

// Error returns the request and the leader.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("%s must be requested from the leader, which is member %d (0: unknown)", e.Request, e.Leader)
}

// DiskReplacedError is returned by Node.Run when another disk is registered for this member. The votes and entries that
// the member has acknowledged are on that other disk. Either the folder was lost and created again, or this is an old
// folder from before it was replaced. A copy of the registered folder has the same identity and is not detected.
type DiskReplacedError struct{ Member uint64 }

// Error returns the member and the remedy.
func (e *DiskReplacedError) Error() string {
	return fmt.Sprintf("the group has registered another disk for member %d: remove the member and add this controller under a new number", e.Member)
}

// ignoreError discards an error that needs no handling; each call documents the reason.
func ignoreError(error) {}
