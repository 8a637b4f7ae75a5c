package records

import (
	"encoding/json"
	"fmt"
	"strings"
)

// The bounds of one transaction that an operator proposes. A larger change is made as several transactions; the bound
// keeps an entry of the log well under one message between members, and one change within a sidecar's patience.
const (
	MaxTransactionWrites = 256
	MaxTransactionBytes  = 256 << 10 // of names and bodies together
)

// Write sets one record or removes it, provided that the record has the revision that the writer knows.
type Write struct {
	Key              Key             `json:"key"`
	Body             json.RawMessage `json:"body,omitempty"`   // the spec as JSON; none removes the record
	ExpectedRevision uint64          `json:"expect,omitempty"` // the revision that the record has to have; 0: it must not exist
	AnyRevision      bool            `json:"any,omitempty"`    // whatever revision it has, also none
}

// Transaction is a set of writes that are applied together or not at all.
type Transaction struct {
	Writes []Write `json:"writes"`
	// Restamp has a write of what is there already count as a change, which sets the record's revision.
	Restamp bool `json:"-"`
}

// Validate checks what can be told without the state: the bounds of an operator's transaction, and each write alone.
func (t Transaction) Validate() error {
	if len(t.Writes) == 0 {
		return &InvalidError{Reason: "a transaction has to write at least one record"}
	}
	if len(t.Writes) > MaxTransactionWrites {
		return &InvalidError{Reason: fmt.Sprintf("a transaction writes at most %d records, not %d: split it", MaxTransactionWrites, len(t.Writes))}
	}
	size := 0
	for _, write := range t.Writes {
		size += len(write.Key.Name) + len(write.Body)
	}
	if size > MaxTransactionBytes {
		return &InvalidError{Reason: fmt.Sprintf("a transaction is at most %d bytes, not %d: split it", MaxTransactionBytes, size)}
	}
	_, err := t.parse()
	return err
}

// parse gives the records that the writes set, nil where one removes.
func (t Transaction) parse() ([]*Record, error) {
	parsed := make([]*Record, len(t.Writes))
	seen := make(map[Key]bool, len(t.Writes))
	for i, write := range t.Writes {
		if seen[write.Key] {
			return nil, &InvalidError{Key: write.Key, Reason: "it is written twice in one transaction"}
		}
		seen[write.Key] = true
		if len(write.Body) == 0 {
			continue
		}
		record, err := Parse(write.Key, write.Body)
		if err != nil {
			return nil, &InvalidError{Key: write.Key, Reason: err.Error()}
		}
		parsed[i] = record
	}
	return parsed, nil
}

// InvalidError says why a transaction can't be applied whatever the state is.
type InvalidError struct {
	Key    Key // the zero key if it concerns the transaction as a whole
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Reason }

// Conflict is a record that has another revision than a write expects.
type Conflict struct {
	Key      Key    `json:"key"`
	Expected uint64 `json:"expected"` // 0: it was to be new
	Actual   uint64 `json:"held"`     // 0: it does not exist
}

// String tells of the conflict.
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
	Conflicts []Conflict
}

// Error implements error.
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
	Violations []Violation
}

// Error implements error.
func (e *CheckError) Error() string {
	parts := make([]string, len(e.Violations))
	for i, violation := range e.Violations {
		parts[i] = violation.Key.String() + ": " + violation.Reason
	}
	return strings.Join(parts, "; ")
}

// FullError says that the state would exceed its bound.
type FullError struct {
	Bytes, Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the records would take %d bytes, %d at most: remove some first", e.Bytes, e.Limit)
}
