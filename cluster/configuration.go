package cluster

import "harehook.dev/harehook/records"

// maxTextWrites bounds the records that one full text changes. A text of maxTextBytes names fewer, and replaces one
// that did.
const maxTextWrites = 32768

// applyConfiguration changes the records by a command, as a new version.
func (s *State) applyConfiguration(index, term uint64, c Command) error {
	if err := s.checkPreconditions(c); err != nil {
		return err
	}
	transaction, err := s.transaction(c, s.FullTexts)
	if err != nil {
		return err
	}
	change, err := s.store.Apply(index, transaction)
	if err != nil && c.Kind == CommandRollBack { // what kept the rules then may not do so by now
		return &RollBackError{Version: c.To, Err: err}
	}
	if err != nil {
		return err
	}
	s.addVersion(Version{Number: index, Term: term, By: c.By, Why: c.Why, At: c.At})
	if s.OnCommit != nil {
		s.OnCommit(change)
	}
	return nil
}

// checkPreconditions says why a command cannot change the version in effect: ErrRevisionsNotCounted, a
// *VersionForgottenError or a *StaleBaseError.
func (s *State) checkPreconditions(c Command) error {
	if c.Kind == CommandRecords {
		if s.FullTexts { // until CommandSetFormat
			return ErrRevisionsNotCounted
		}
		return nil // each write names the revision that it changes
	}
	if _, retained := s.Find(c.To); c.Kind == CommandRollBack && !retained {
		return &VersionForgottenError{Version: c.To}
	}
	if inEffect := s.Latest().Number; c.Base != inEffect {
		return &StaleBaseError{Base: c.Base, InEffect: inEffect}
	}
	return nil
}

// transaction is what a command does to the records that are held. It may be called from any goroutine; fullTexts is
// the state's.
func (s *State) transaction(c Command, fullTexts bool) (records.Transaction, error) {
	if fullTexts {
		return s.restampingTransaction(c)
	}
	switch c.Kind {
	case CommandPut:
		parsed, err := s.parseText(c.Text)
		if err != nil {
			return records.Transaction{}, err
		}
		return s.replacement(parsed)
	case CommandRollBack:
		return s.reversal(c.To)
	default:
		return records.Transaction{Writes: c.Writes}, nil
	}
}

// reversal is the transaction after which the records are those of an earlier version.
func (s *State) reversal(version uint64) (records.Transaction, error) {
	transaction, retained := s.store.Reversal(version)
	if !retained {
		return records.Transaction{}, &ChangesForgottenError{Version: version}
	}
	return transaction, nil
}

// replacement is the transaction after which the records are those of a full text. It writes those that differ.
func (s *State) replacement(parsed []*records.Record) (records.Transaction, error) {
	var writes []records.Write
	for _, record := range parsed {
		held := s.store.Get(record.Key)
		if held == nil || !held.SameContent(record) {
			writes = append(writes, textWrite(record))
		}
	}
	return textTransaction(append(writes, s.removals(parsed)...))
}

// removals are the writes that remove what a full text does not name. Services and tenants stay as they are if the text
// names none: a text of routes and overrides alone, as written before there were others, leaves them be.
func (s *State) removals(parsed []*records.Record) []records.Write {
	named := make(map[records.Key]bool, len(parsed))
	replaced := map[records.Kind]bool{records.KindRoute: true, records.KindOverride: true}
	for _, record := range parsed {
		named[record.Key] = true
		replaced[record.Kind] = true
	}
	var writes []records.Write
	for kind := range replaced {
		for _, record := range s.store.OfKinds(kind).Records {
			if !named[record.Key] {
				writes = append(writes, records.Write{Key: record.Key, AnyRevision: true})
			}
		}
	}
	return writes
}

// textWrite sets a record as a full text has it.
func textWrite(record *records.Record) records.Write {
	return records.Write{Key: record.Key, Body: record.Body, AnyRevision: true}
}

// textTransaction is the transaction of a full text's writes. The error is a *TextChangesError.
func textTransaction(writes []records.Write) (records.Transaction, error) {
	if len(writes) > maxTextWrites {
		return records.Transaction{}, &TextChangesError{Records: len(writes), Limit: maxTextWrites}
	}
	return records.Transaction{Writes: writes}, nil
}
