package records

import "fmt"

// Restore replaces the store's content by that of a snapshot, in place: whoever reads the store goes on with the new
// content. A snapshot that can't be read, or whose records break a rule, leaves the store as it was; the error is a
// *SnapshotError.
func (s *Store) Restore(data []byte) error {
	next := NewStore()
	next.maxBytes = s.maxBytes
	next.history.maxBytes = s.history.maxBytes
	if err := next.decode(data); err != nil {
		return &SnapshotError{Err: err}
	}
	s.Replace(next)
	return nil
}

// Replace replaces the content by that of another store, which must not be used any more.
func (s *Store) Replace(next *Store) {
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	s.revision = next.revision
	s.index = next.index
	s.routing = next.routing
	s.history = next.history
	s.sorted.records = next.sorted.records
	s.sorted.added = next.sorted.added
	s.sorted.removed = next.sorted.removed
	s.lastChangeByKind = map[Kind]uint64{}
	s.restoredRevision = next.revision
}

// decode reads a snapshot into a new store.
func (s *Store) decode(data []byte) error {
	in := &decoder{remaining: data}
	format := in.number()
	if in.err == nil && format != snapshotFormat && format != formatWithoutRouting {
		return fmt.Errorf("its format is %d, %d and %d are known", format, formatWithoutRouting, snapshotFormat)
	}
	s.revision = in.number()
	if err := s.decodeRecords(in); err != nil {
		return err
	}
	if err := s.decodeHistory(in); err != nil {
		return err
	}
	if err := s.decodeRouting(in, format); err != nil {
		return err
	}
	if len(in.remaining) > 0 {
		return errTrailing
	}
	return nil
}

// decodeRecords reads the records, and checks their order, revisions and rules.
func (s *Store) decodeRecords(in *decoder) error {
	sorted := []*Record{}
	var updates []Update
	for range in.number() {
		record := in.record()
		if in.err != nil {
			return in.err
		}
		if len(sorted) > 0 && compareRecords(sorted[len(sorted)-1], record) >= 0 {
			return fmt.Errorf("%s is out of order", record.Key)
		}
		if record.Revision > s.revision {
			return fmt.Errorf("%s has revision %d, over the last one, %d", record.Key, record.Revision, s.revision)
		}
		s.reuseStrings(record, nil)
		s.index.insert(record)
		sorted = append(sorted, record)
		updates = append(updates, Update{After: record})
	}
	if in.err != nil {
		return in.err
	}
	s.sorted.set(sorted)
	return s.checkRules(updates, 0)
}

// decodeHistory reads the changes, and checks their order and that they lead to the records.
func (s *Store) decodeHistory(in *decoder) error {
	s.history.compactRevision = in.number()
	last := s.history.compactRevision
	for range in.number() {
		change, err := s.decodeChange(in)
		if err != nil {
			return err
		}
		if change.Revision <= last || change.Revision > s.revision {
			return fmt.Errorf("its change %d is out of order", change.Revision)
		}
		last = change.Revision
		s.history.add(change)
	}
	if in.err != nil {
		return in.err
	}
	return s.checkHistory()
}

func (s *Store) decodeChange(in *decoder) (Change, error) {
	change := Change{Revision: in.number()}
	for range in.number() {
		update := in.update()
		if in.err != nil {
			return Change{}, in.err
		}
		change.Updates = append(change.Updates, s.reuseRecord(update))
	}
	return change, in.err
}

// reuseRecord has an update of the history use the record that the state holds, if it is that one.
func (s *Store) reuseRecord(update Update) Update {
	if update.After == nil {
		return update
	}
	held := s.index.get(update.After.Key)
	if held != nil && held.Revision == update.After.Revision && held.SameContent(update.After) {
		update.After = held
	}
	return update
}

// checkHistory says whether the changes lead to other records than those that are held.
func (s *Store) checkHistory() error {
	for _, update := range mergeChanges(s.history.changes) {
		if update.After != s.index.get(update.Key()) {
			return fmt.Errorf("its changes and its records do not agree on %s", update.Key())
		}
	}
	return nil
}

// decodeRouting reads the revisions of services' routes, or derives them where the format has none.
func (s *Store) decodeRouting(in *decoder, format uint64) error {
	routes := s.index.byKind[KindRoute]
	if format == formatWithoutRouting {
		s.routing.derive(routes, s.history.changes)
		return nil
	}
	if err := s.routing.decode(in); err != nil {
		return err
	}
	return s.routing.check(s.revision, routes)
}
