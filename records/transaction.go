package records

import (
	"encoding/json"
	"fmt"
)

// Bounds on a transaction that an operator proposes. A larger change must be split into several transactions. The
// bounds keep an entry of the log well below the size of one message between members.
const (
	MaxTransactionWrites = 256
	MaxTransactionBytes  = 256 << 10 // total size of names and bodies
)

// Write sets or removes one record, provided that the record has the expected revision.
type Write struct {
	Key              Key             `json:"key"`
	Body             json.RawMessage `json:"body,omitempty"`   // the spec as JSON; empty: remove the record
	ExpectedRevision uint64          `json:"expect,omitempty"` // required revision of the record; 0: it must not exist
	AnyRevision      bool            `json:"any,omitempty"`    // the record may have any revision, or not exist
}

// Transaction is a set of writes that is applied atomically.
type Transaction struct {
	Writes []Write `json:"writes"`
	// Restamp makes a write set the revision of its record even if the content does not change.
	Restamp bool `json:"-"`
}

// Validate checks a transaction without regard to the state: the bounds on an operator's transaction, and each write on
// its own. The error is an *InvalidError.
func (t Transaction) Validate() error {
	if len(t.Writes) == 0 {
		return &InvalidError{Reason: "a transaction has to write at least one record"}
	}
	if len(t.Writes) > MaxTransactionWrites {
		return &InvalidError{Reason: fmt.Sprintf("a transaction writes at most %d records, not %d: split it", MaxTransactionWrites, len(t.Writes))}
	}
	if size := t.size(); size > MaxTransactionBytes {
		return &InvalidError{Reason: fmt.Sprintf("a transaction is at most %d bytes, not %d: split it", MaxTransactionBytes, size)}
	}
	_, err := t.parse()
	return err
}

// size returns the total size of names and bodies in bytes.
func (t Transaction) size() int {
	size := 0
	for _, write := range t.Writes {
		size += len(write.Key.Name) + len(write.Body)
	}
	return size
}

// parse returns the record that each write sets, nil for a removal. The error is an *InvalidError.
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
			return nil, &InvalidError{Key: write.Key, Reason: err.Error(), Err: err}
		}
		parsed[i] = record
	}
	return parsed, nil
}
