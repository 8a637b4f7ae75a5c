package cluster

import "harehook.dev/harehook/records"

// This file has what a group that began with full texts does until CommandSetFormat, where State.FullTexts says why: a
// full text then writes all of its records, also those that do not differ, so that each gets the text's revision.

// restampingTransaction is what a command does to the records that are held, until CommandSetFormat.
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
			return records.Transaction{}, &ChangesForgottenError{Version: c.To}
		}
		return s.restampingReplacement(earlier)
	default:
		return records.Transaction{Writes: c.Writes}, nil // checkPreconditions rejects it
	}
}

// restampingReplacement is the transaction after which the records are those of a full text, each with the revision of
// the transaction.
func (s *State) restampingReplacement(parsed []*records.Record) (records.Transaction, error) {
	var writes []records.Write
	for _, record := range parsed {
		writes = append(writes, textWrite(record))
	}
	transaction, err := textTransaction(append(writes, s.removals(parsed)...))
	transaction.Restamp = true
	return transaction, err
}
