package records

import (
	"errors"
	"fmt"
	"strings"
)

// KeyError says that a text is no key.
type KeyError struct{ Text string }

// Error states the text.
func (e *KeyError) Error() string { return fmt.Sprintf("%q is no key: expected kind/name", e.Text) }

// KindError says that a name is not that of a kind of record.
type KindError struct{ Name string }

// Error states the name.
func (e *KindError) Error() string { return fmt.Sprintf("record kind %q is not known", e.Name) }

// NameError says that a name is missing, too long, or not on one line.
type NameError struct {
	What       string // what it names: name, service or zone
	LimitBytes int
}

// Error states what the name is for, and its bound.
func (e *NameError) Error() string {
	return fmt.Sprintf("a %s has to be 1 to %d bytes on one line", e.What, e.LimitBytes)
}

// SpecError says why a spec can't be that of a record.
type SpecError struct {
	Key Key
	Err error // a *NameError, a *FieldError, one of encoding/json, or another
}

// Error states the key and the cause.
func (e *SpecError) Error() string { return e.Key.String() + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *SpecError) Unwrap() error { return e.Err }

// FieldError says that a field of a spec has a value that it can't have.
type FieldError struct {
	Field string // by the words of operators, as "its share"
	Want  string // what it has to be
}

// Error states the field and what it has to be.
func (e *FieldError) Error() string { return e.Field + " has to " + e.Want }

// What is wrong with the JSON or the kind of a spec.
var (
	errUnknownKind   = errors.New("its kind is not known")
	errNotCanonical  = errors.New("its body is not in canonical form")
	errSeveralValues = errors.New("more than one value")
)

// InvalidError says why a transaction can't be applied whatever the state is.
type InvalidError struct {
	Key    Key // the zero key if it concerns the transaction as a whole
	Reason string
	Err    error // a *SpecError where one write is at fault; else nil
}

// Error states the reason.
func (e *InvalidError) Error() string { return e.Reason }

// Unwrap gives what is wrong with the write.
func (e *InvalidError) Unwrap() error { return e.Err }

// RevisionError says that a transaction has a revision that is not over that of the last change.
type RevisionError struct{ Revision, Last uint64 }

// Error states both revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not over the last one, %d", e.Revision, e.Last)
}

// Conflict is a record that has another revision than a write expects.
type Conflict struct {
	Key      Key    `json:"key"`
	Expected uint64 `json:"expected"` // 0: it was to be new
	Actual   uint64 `json:"held"`     // 0: it does not exist
}

// String states the key and both revisions.
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

// ConflictError names every record of a transaction whose revision is not the expected one.
type ConflictError struct {
	Conflicts []Conflict // in the order of the writes
}

// Error states each conflict.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Conflicts))
	for i, conflict := range e.Conflicts {
		parts[i] = conflict.String()
	}
	return "changed since it was read: " + strings.Join(parts, "; ")
}

// Violation is a rule over several records that a transaction would break.
type Violation struct {
	Key    Key `json:"key"`
	Reason string
}

// CheckError names all rules that a transaction would break.
type CheckError struct {
	Violations []Violation // by key
}

// Error states each violation.
func (e *CheckError) Error() string {
	parts := make([]string, len(e.Violations))
	for i, violation := range e.Violations {
		parts[i] = violation.Key.String() + ": " + violation.Reason
	}
	return strings.Join(parts, "; ")
}

// FullError says that the records would exceed their bound, in bytes as encoded.
type FullError struct {
	Bytes, Limit int
}

// Error states the size and the bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("the records would take %d bytes, %d at most: remove some first", e.Bytes, e.Limit)
}

// SnapshotError says why bytes can't be a snapshot of a Store.
type SnapshotError struct{ Err error }

// Error states the cause.
func (e *SnapshotError) Error() string { return "snapshot of records: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }

// What is wrong with a snapshot, where no value has to be named.
var (
	errDamaged      = errors.New("it is cut short or damaged")
	errTrailing     = errors.New("it goes on after its end")
	errRoutingOrder = errors.New("the revisions of its services' routes are out of order")
)
