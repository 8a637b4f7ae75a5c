package records

import "slices"

// Apply carries out a transaction at a revision, which has to be over that of the last change. The error is a
// *RevisionError, *InvalidError, *ConflictError, *CheckError or *FullError; then nothing has changed. Writes of what is
// there already are no updates: such a record keeps its revision. The bounds of an operator's transaction are Validate's.
func (s *Store) Apply(revision uint64, transaction Transaction) (Change, error) {
	written, err := transaction.parse()
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
	updates := s.stampUpdates(revision, transaction, written)
	if err := s.replaceChecked(updates); err != nil {
		return Change{}, err
	}
	change := Change{Revision: revision, Updates: updates}
	s.commit(change, transaction.Restamp)
	return change, nil
}

// checkRevisions names the writes that expect another revision than their record has.
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

// stampUpdates gives what writes change, ordered by key. The written records are stamped with the revision.
func (s *Store) stampUpdates(revision uint64, transaction Transaction, written []*Record) []Update {
	updates := make([]Update, 0, len(written))
	for i, after := range written {
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

// isUnchanged reports whether a write of a record, nil for a removal, changes nothing.
func isUnchanged(before, after *Record, restamp bool) bool {
	if before == nil || after == nil {
		return before == after
	}
	return before.SameContent(after) && !restamp
}

// reuseStrings has a record use the strings that the state holds already, of which each of a service's tenants would
// otherwise hold a copy.
func (s *Store) reuseStrings(record, before *Record) {
	if before != nil {
		record.Name = before.Name
	}
	service := s.index.get(Key{Kind: KindService, Name: record.Service})
	if service != nil && record.Kind != KindService {
		record.Service = service.Name
	}
}

// replaceChecked makes updates in the indexes, and takes them back if a rule would be broken.
func (s *Store) replaceChecked(updates []Update) error {
	routesBefore := len(s.index.byKind[KindRoute])
	for _, update := range updates {
		s.replaceRecord(update.Before, update.After)
	}
	err := s.checkRules(updates, routesBefore)
	if err != nil {
		for _, update := range updates {
			s.replaceRecord(update.After, update.Before)
		}
	}
	return err
}

// replaceRecord takes a record out of the indexes and puts another one in; either may be nil.
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

// commit notes a change that was made in the indexes.
func (s *Store) commit(change Change, restamp bool) {
	s.revision = change.Revision
	for _, update := range change.Updates {
		s.lastChangeByKind[update.Key().Kind] = change.Revision
	}
	s.routing.recordChange(change.Revision, change.Updates)
	if restamp {
		// Members that come to this state from different snapshots of full texts know of different changes before it.
		s.routing.raiseAll(change.Revision)
	}
	s.history.add(change)
}
