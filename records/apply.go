package records

import "slices"

// Apply applies a transaction at a revision, which must be greater than that of the last change. The error is a
// *RevisionError, *InvalidError, *ConflictError, *CheckError or *FullError; after an error the store is unchanged. A
// write that does not change the content of its record produces no update, and the record keeps its revision, unless
// the transaction has Restamp set. Apply does not check the bounds on an operator's transaction; Validate does.
func (s *Store) Apply(revision uint64, transaction Transaction) (Change, error) {
	parsed, err := transaction.parse()
	if err != nil {
		return Change{}, err
	}
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	if revision <= s.revision {
		return Change{}, &RevisionError{Revision: revision, Last: s.revision}
	}
	if err := s.checkRevisions(transaction); err != nil {
		return Change{}, err
	}
	updates := s.stampUpdates(revision, transaction, parsed)
	if err := s.applyUpdates(updates); err != nil {
		return Change{}, err
	}
	change := Change{Revision: revision, Updates: updates}
	s.commit(change, transaction.Restamp)
	return change, nil
}

// checkRevisions returns a *ConflictError that lists the writes whose expected revision differs from their record's.
func (s *Store) checkRevisions(transaction Transaction) error {
	var conflicts []Conflict
	for _, write := range transaction.Writes {
		actual := uint64(0)
		if record := s.index.get(write.Key); record != nil {
			actual = record.Revision
		}
		if !write.AnyRevision && write.ExpectedRevision != actual {
			conflicts = append(conflicts, Conflict{Key: write.Key, Expected: write.ExpectedRevision, Actual: actual})
		}
	}
	if len(conflicts) > 0 {
		return &ConflictError{Conflicts: conflicts}
	}
	return nil
}

// stampUpdates returns the updates that the writes make, ordered by key. It sets the revision of the written records.
func (s *Store) stampUpdates(revision uint64, transaction Transaction, parsed []*Record) []Update {
	updates := make([]Update, 0, len(parsed))
	for i, after := range parsed {
		before := s.index.get(transaction.Writes[i].Key)
		if isUnchanged(before, after, transaction.Restamp) {
			continue
		}
		if after != nil {
			after.Revision = revision
			s.reuseStrings(after, before)
		}
		updates = append(updates, Update{Before: before, After: after})
	}
	slices.SortFunc(updates, compareUpdates)
	return updates
}

// isUnchanged reports whether a write has no effect. A nil before is a missing record, a nil after a removal.
func isUnchanged(before, after *Record, restamp bool) bool {
	if before == nil || after == nil {
		return before == after
	}
	return before.SameContent(after) && !restamp
}

// reuseStrings replaces strings of a record by equal ones that the store already holds. Otherwise, each tenant of a
// service would retain its own copy of the service's name.
func (s *Store) reuseStrings(record, before *Record) {
	if before != nil {
		record.Name = before.Name
	}
	service := s.index.get(Key{Kind: KindService, Name: record.Service})
	if service != nil && record.Kind != KindService {
		record.Service = service.Name
	}
}

// applyUpdates applies updates to the indexes, and reverts them if they break a rule.
func (s *Store) applyUpdates(updates []Update) error {
	routeCountBefore := len(s.index.byKind[KindRoute])
	for _, update := range updates {
		s.replaceRecord(update.Before, update.After)
	}
	err := s.checkRules(updates, routeCountBefore)
	if err != nil {
		for _, update := range updates {
			s.replaceRecord(update.After, update.Before)
		}
	}
	return err
}

// replaceRecord removes a record from the indexes and inserts another one; either may be nil.
func (s *Store) replaceRecord(before, after *Record) {
	if before != nil {
		s.index.remove(before)
		s.sorted.remove(before)
	}
	if after != nil {
		s.index.insert(after)
		s.sorted.add(after)
	}
}

// commit records a change that was already applied to the indexes.
func (s *Store) commit(change Change, restamp bool) {
	s.revision = change.Revision
	for _, update := range change.Updates {
		s.lastChangeByKind[update.Key().Kind] = change.Revision
	}
	s.routing.recordChange(change.Revision, change.Updates)
	if restamp {
		// Members that reach this state from different snapshots of full texts retain different earlier changes, and
		// would otherwise have different routing revisions.
		s.routing.raiseAll(change.Revision)
	}
	s.history.add(change)
}
