package cluster

import "harehook.dev/harehook/records"

// This file handles full texts in a group that began with them, until CommandSetFormat. A full text writes all of its
// records, including unchanged ones, so that each of them gets the revision of the text. State.FullTexts documents the
// reason.

// restampingTransaction converts a command to a transaction on the current records, until CommandSetFormat.
func (s *State) restampingTransaction(c Command) (records.Transaction, error) {
	switch c.Kind {
	case CommandPut:
		parsed, err := s.parseText(c.Text)
		if err != nil {
			return records.Transaction{}, err
		}
		return s.restampingReplacement(parsed)
	case CommandRollBack:
		earlier, retained := s.store.At(c.To)
		if !retained {
			return records.Transaction{}, &ChangesNotRetainedError{Version: c.To}
		}
		return s.restampingReplacement(earlier)
	default:
		return records.Transaction{Writes: c.Writes}, nil // checkPreconditions rejects such a command
	}
}

// restampingReplacement returns the transaction that replaces the records with those of a full text and gives each of
// them the revision of the transaction.
func (s *State) restampingReplacement(parsed []*records.Record) (records.Transaction, error) {
	var writes []records.Write
	for _, record := range parsed {
		writes = append(writes, textWrite(record))
	}
	transaction, err := textTransaction(append(writes, s.removals(parsed)...))
	transaction.Restamp = true
	return transaction, err
}
