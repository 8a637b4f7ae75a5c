package records

// Since returns the changes in a scope after a revision. A revision greater than that of the last change has no
// updates. The cost depends on the number of changes after the revision.
func (s *Store) Since(revision uint64, scope Scope) Delta {
	if !scope.All {
		scope = scope.Normalized()
	}
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	delta := Delta{Revision: s.revision, RoutingRevision: s.routing.inScope(scope), Available: s.history.covers(revision)}
	if revision >= s.revision || !delta.Available {
		return delta
	}
	for _, update := range mergeChanges(s.history.since(revision)) {
		if scope.Touches(update) {
			delta.Updates = append(delta.Updates, update)
		}
	}
	return delta
}

// At returns all records as of a revision, ordered by key. Retained is false if the changes after the revision are no
// longer retained, or if the revision is greater than that of the last change.
func (s *Store) At(revision uint64) (records []*Record, retained bool) {
	records, previous, retained := s.splitAt(revision)
	if !retained {
		return nil, false
	}
	for _, record := range previous {
		if record != nil {
			records = append(records, record)
		}
	}
	sortByKey(records)
	return records, true
}

// splitAt returns the records that did not change since a revision, and by key the previous versions of those that did,
// nil for a record that did not exist.
func (s *Store) splitAt(revision uint64) (unchanged []*Record, previous map[Key]*Record, retained bool) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	if !s.retains(revision) {
		return nil, nil, false
	}
	previous = map[Key]*Record{}
	for _, update := range mergeChanges(s.history.since(revision)) {
		previous[update.Key()] = update.Before
	}
	for _, byName := range s.index.byKind {
		for _, record := range byName {
			if _, changed := previous[record.Key]; !changed {
				unchanged = append(unchanged, record)
			}
		}
	}
	return unchanged, previous, true
}

// Reversal returns the transaction that restores the content of the records as of a revision. Its writes accept any
// revision, so that concurrent writes cause no conflict. Retained is false in the same cases as for At.
func (s *Store) Reversal(revision uint64) (transaction Transaction, retained bool) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	if !s.retains(revision) {
		return Transaction{}, false
	}
	for _, update := range mergeChanges(s.history.since(revision)) {
		write := Write{Key: update.Key(), AnyRevision: true}
		if update.Before != nil {
			write.Body = update.Before.Body
		}
		transaction.Writes = append(transaction.Writes, write)
	}
	return transaction, true
}

// DropHistory drops the history: the changes up to the last revision are no longer retained. The records stay.
func (s *Store) DropHistory() {
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	s.history.dropAll(s.revision)
}

// retains reports whether the records as of a revision can be reconstructed.
func (s *Store) retains(revision uint64) bool {
	return s.history.covers(revision) && revision <= s.revision
}
