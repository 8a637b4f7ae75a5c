package records

// Since gives what changed in a scope after a revision. A revision of the future has no updates yet. It costs by the
// changes after the revision.
func (s *Store) Since(revision uint64, scope Scope) Delta {
	if !scope.All {
		scope = scope.Normalized()
	}
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	delta := Delta{Revision: s.revision, RoutingRevision: s.routing.inScope(scope), Available: s.history.knows(revision)}
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

// At gives all records as they were at a revision, ordered by key. Retained is false if the changes since then are no
// longer known or the revision is not yet there.
func (s *Store) At(revision uint64) (held []*Record, retained bool) {
	held, undone, retained := s.splitAt(revision)
	if !retained {
		return nil, false
	}
	for _, record := range undone {
		if record != nil {
			held = append(held, record)
		}
	}
	sortByKey(held)
	return held, true
}

// splitAt gives the records that did not change since a revision, and the others as they were, nil for one that was not
// there.
func (s *Store) splitAt(revision uint64) (unchanged []*Record, undone map[Key]*Record, retained bool) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	if !s.retains(revision) {
		return nil, nil, false
	}
	undone = map[Key]*Record{}
	for _, update := range mergeChanges(s.history.since(revision)) {
		undone[update.Key()] = update.Before
	}
	for _, byName := range s.index.byKind {
		for _, record := range byName {
			if _, changed := undone[record.Key]; !changed {
				unchanged = append(unchanged, record)
			}
		}
	}
	return unchanged, undone, true
}

// Reversal is the transaction that brings the records back to what they were at a revision, whatever else is written
// meanwhile. Retained is as for At.
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

// Forget drops the history: what was before the last change is not known any more.
func (s *Store) Forget() {
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	s.history.forget(s.revision)
}

// retains reports whether the records as of a revision are known.
func (s *Store) retains(revision uint64) bool {
	return s.history.knows(revision) && revision <= s.revision
}
