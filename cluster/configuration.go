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
		if s.FullTexts {
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
	switch c.Kind {
	case CommandPut:
		parsed, err := s.parseText(c.Text)
		if err != nil {
			return records.Transaction{}, err
		}
		return s.replacement(parsed, fullTexts)
	case CommandRollBack:
		return s.reversal(c.To, fullTexts)
	default:
		return records.Transaction{Writes: c.Writes}, nil
	}
}

// reversal is the transaction after which the records are those of an earlier version.
func (s *State) reversal(version uint64, fullTexts bool) (records.Transaction, error) {
	if fullTexts {
		earlier, retained := s.store.At(version)
		if !retained {
			return records.Transaction{}, &ChangesForgottenError{Version: version}
		}
		return s.replacement(earlier, fullTexts)
	}
	transaction, retained := s.store.Reversal(version)
	if !retained {
		return records.Transaction{}, &ChangesForgottenError{Version: version}
	}
	return transaction, nil
}

// replacement is the transaction after which the records are those of a full text. Services and tenants stay as they
// are if the text names none: a text of routes and overrides alone, as written before there were others, leaves them be.
func (s *State) replacement(parsed []*records.Record, fullTexts bool) (records.Transaction, error) {
	transaction := records.Transaction{Restamp: fullTexts}
	named := make(map[records.Key]bool, len(parsed))
	replaced := map[records.Kind]bool{records.KindRoute: true, records.KindOverride: true}
	for _, record := range parsed {
		named[record.Key] = true
		replaced[record.Kind] = true
		held := s.store.Get(record.Key)
		if fullTexts || held == nil || !held.SameContent(record) {
			transaction.Writes = append(transaction.Writes, records.Write{Key: record.Key, Body: record.Body, AnyRevision: true})
		}
	}
	for kind := range replaced {
		for _, record := range s.store.OfKinds(kind).Records {
			if !named[record.Key] {
				transaction.Writes = append(transaction.Writes, records.Write{Key: record.Key, AnyRevision: true})
			}
		}
	}
	if len(transaction.Writes) > maxTextWrites {
		return transaction, &TextChangesError{Records: len(transaction.Writes), Limit: maxTextWrites}
	}
	return transaction, nil
}
