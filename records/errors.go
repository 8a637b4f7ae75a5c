package records

import (
	"errors"
	"fmt"
	"strings"
)

// The text of each error that Apply or Validate returns becomes part of the replicated state: package cluster stores it
// as the result of a rejected command. All members must produce the same text, also members of the previous release, so
// these texts do not change between releases.

// KeyError is returned when a text is not a valid key.
type KeyError struct{ Text string }

// Error returns a message that names the text.
func (e *KeyError) Error() string { return fmt.Sprintf("invalid key %q: expected kind/name", e.Text) }

// KindError is returned when a name does not denote a kind of record.
type KindError struct{ Name string }

// Error returns a message that names the unknown kind.
func (e *KindError) Error() string { return fmt.Sprintf("record kind %q is not known", e.Name) }

// NameError is returned when a name is empty, too long, or spans several lines.
type NameError struct {
	Field      string // name, service or zone
	LimitBytes int
}

// Error returns a message that states the kind of name and its bound.
func (e *NameError) Error() string {
	return fmt.Sprintf("a %s has to be 1 to %d bytes on one line", e.Field, e.LimitBytes)
}

// SpecError is returned when a spec is not valid for its record.
type SpecError struct {
	Key Key
	Err error // a *NameError, a *FieldError, an error of encoding/json, or another one
}

// Error returns a message that states the key and the cause.
func (e *SpecError) Error() string { return e.Key.String() + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SpecError) Unwrap() error { return e.Err }

// FieldError is returned when a field of a spec has an invalid value.
type FieldError struct {
	Field       string // in the wording of the message, such as "its share"
	Requirement string // the requirement that follows "has to" in the message
}

// Error returns a message that states the field and its requirement.
func (e *FieldError) Error() string { return e.Field + " has to " + e.Requirement }

// Errors for the kind of a record and for the JSON of its spec.
var (
	errUnknownKind   = errors.New("its kind is not known")
	errNotCanonical  = errors.New("the body is not in canonical form")
	errSeveralValues = errors.New("more than one value")
)

// InvalidError is returned when a transaction is invalid regardless of the state.
type InvalidError struct {
	Key    Key // the zero key if the error concerns the whole transaction
	Reason string
	Err    error // a *NameError or a *SpecError if the body of a write is invalid, otherwise nil
}

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

// Unwrap returns the error in the write.
func (e *InvalidError) Unwrap() error { return e.Err }

// RevisionError is returned when the revision of a transaction is not greater than that of the last change.
type RevisionError struct{ Revision, Last uint64 }

// Error returns a message that states both revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not over the last one, %d", e.Revision, e.Last)
}

// Conflict describes a record whose revision differs from the one that a write expects.
type Conflict struct {
	Key      Key    `json:"key"`
	Expected uint64 `json:"expected"` // 0: the record was expected not to exist
	Actual   uint64 `json:"held"`     // 0: the record does not exist
}

// String returns a message that states the key and both revisions.
func (c Conflict) String() string {
	switch {
	case c.Expected == 0:
		return fmt.Sprintf("%s exists with revision %d", c.Key, c.Actual)
	case c.Actual == 0:
		return fmt.Sprintf("%s does not exist, revision %d was expected", c.Key, c.Expected)
	default:
		return fmt.Sprintf("%s has revision %d, %d was expected", c.Key, c.Actual, c.Expected)
	}
}

// ConflictError is returned when records do not have the revisions that a transaction expects.
type ConflictError struct {
	Conflicts []Conflict // all of them, in the order of the writes
}

// Error returns a message that lists all conflicts.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Conflicts))
	for i, conflict := range e.Conflicts {
		parts[i] = conflict.String()
	}
	return "changed since it was read: " + strings.Join(parts, "; ")
}

// Violation describes a rule spanning several records that a transaction would break.
type Violation struct {
	Key    Key `json:"key"`
	Reason string
}

// CheckError is returned when a transaction would break rules that span several records.
type CheckError struct {
	Violations []Violation // at most one for each updated record, ordered by key; the rule on the last route comes last
}

// Error returns a message that lists all violations.
func (e *CheckError) Error() string {
	parts := make([]string, len(e.Violations))
	for i, violation := range e.Violations {
		parts[i] = violation.Key.String() + ": " + violation.Reason
	}
	return strings.Join(parts, "; ")
}

// FullError is returned when the encoded records would exceed their bound in bytes.
type FullError struct {
	Bytes, Limit int
}

// Error returns a message that states the size and the bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("the records would take %d bytes, %d at most: remove some first", e.Bytes, e.Limit)
}

// SnapshotError is returned when bytes are not a valid snapshot of a Store.
type SnapshotError struct{ Err error }

// Error returns a message that states the cause.
func (e *SnapshotError) Error() string { return "invalid snapshot of records: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// Errors in a snapshot whose messages name no value.
var (
	errDamaged      = errors.New("truncated or corrupt data")
	errTrailing     = errors.New("unexpected data after the end")
	errRoutingOrder = errors.New("routing revisions are out of order or not greater than the default revision")
)
