package records

import (
	"encoding/json"
	"fmt"
)

// The bounds of one transaction that an operator proposes. A larger change is made as several transactions; the bounds
// keep an entry of the log well under one message between members.
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

// Validate checks what is known without the state: the bounds of an operator's transaction, and each write alone. The
// error is an *InvalidError.
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

// size is the bytes of names and bodies.
func (t Transaction) size() int {
	size := 0
	for _, write := range t.Writes {
		size += len(write.Key.Name) + len(write.Body)
	}
	return size
}

// parse gives the records that the writes set, nil where one removes. The error is an *InvalidError.
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
