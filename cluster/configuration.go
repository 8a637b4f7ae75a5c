package cluster

import "harehook.dev/harehook/records"

// maxTextWrites is the maximum number of records that one full text may change. A text of maxTextBytes contains fewer
// records, and so does the text that it replaces.
const maxTextWrites = 32768

// applyConfiguration applies a command to the records and adds a version.
func (s *State) applyConfiguration(index, term uint64, c Command) error {
	if err := s.checkPreconditions(c); err != nil {
		return err
	}
	transaction, err := s.transaction(c, s.FullTexts)
	if err != nil {
		return err
	}
	change, err := s.store.Apply(index, transaction)
	if err != nil && c.Kind == CommandRollBack { // an earlier configuration may violate the current rules
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

// checkPreconditions checks whether a command may change the version in effect. The error is
// ErrRecordRevisionsDisabled, a *VersionNotRetainedError or a *StaleBaseError.
func (s *State) checkPreconditions(c Command) error {
	if c.Kind == CommandRecords {
		if s.FullTexts { // until CommandSetFormat
			return ErrRecordRevisionsDisabled
		}
		return nil // each write has its own expected revision
	}
	if _, retained := s.Find(c.To); c.Kind == CommandRollBack && !retained {
		return &VersionNotRetainedError{Version: c.To}
	}
	if inEffect := s.Latest().Number; c.Base != inEffect {
		return &StaleBaseError{Base: c.Base, InEffect: inEffect}
	}
	return nil
}

// transaction converts a command to a transaction on the current records. It may be called from any goroutine, so
// the caller passes the state's FullTexts.
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

// reversal returns the transaction that restores the records of an earlier version.
func (s *State) reversal(version uint64) (records.Transaction, error) {
	transaction, retained := s.store.Reversal(version)
	if !retained {
		return records.Transaction{}, &ChangesNotRetainedError{Version: version}
	}
	return transaction, nil
}

// replacement returns the transaction that replaces the records with those of a full text. It writes only records that
// differ.
func (s *State) replacement(parsed []*records.Record) (records.Transaction, error) {
	var writes []records.Write
	for _, record := range parsed {
		current := s.store.Get(record.Key)
		if current == nil || !current.SameContent(record) {
			writes = append(writes, textWrite(record))
		}
	}
	return textTransaction(append(writes, s.removals(parsed)...))
}

// removals returns the writes that remove the records that a full text does not contain. If the text contains no
// service, all services are kept, and likewise for tenants: texts from before these kinds existed contain only routes
// and overrides.
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

// textWrite returns the write that sets a record to its content in a full text.
func textWrite(record *records.Record) records.Write {
	return records.Write{Key: record.Key, Body: record.Body, AnyRevision: true}
}

// textTransaction returns the transaction for the writes of a full text. The error is a *TextChangesError.
func textTransaction(writes []records.Write) (records.Transaction, error) {
	if len(writes) > maxTextWrites {
		return records.Transaction{}, &TextChangesError{Records: len(writes), Limit: maxTextWrites}
	}
	return records.Transaction{Writes: writes}, nil
}
