package records

import "fmt"

// Restore replaces the content of the store by that of a snapshot. It does so in place: readers of the store then see
// the new content. If the snapshot can't be decoded or its records break a rule, the store is unchanged and the error
// is a *SnapshotError.
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

// Replace replaces the content by that of another store, which must not be used afterwards.
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

// decode decodes a snapshot into a new store.
func (s *Store) decode(data []byte) error {
	in := &decoder{remaining: data}
	format := in.number()
	if in.err == nil && format != snapshotFormat && format != formatWithoutRouting {
		return fmt.Errorf("format must be %d or %d, got %d", formatWithoutRouting, snapshotFormat, format)
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

// decodeRecords decodes the records and checks their order, revisions and rules.
func (s *Store) decodeRecords(in *decoder) error {
	sorted := []*Record{}
	var updates []Update
	for range in.number() {
		record := in.record()
		if in.err != nil {
			return in.err
		}
		if len(sorted) > 0 && compareRecords(sorted[len(sorted)-1], record) >= 0 {
			return fmt.Errorf("record %s is out of order", record.Key)
		}
		if record.Revision > s.revision {
			return fmt.Errorf("revision of %s must be at most the last revision, %d, got %d", record.Key, s.revision, record.Revision)
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

// decodeHistory decodes the changes. It checks their order, and that they result in the decoded records.
func (s *Store) decodeHistory(in *decoder) error {
	s.history.compactRevision = in.number()
	last := s.history.compactRevision
	for range in.number() {
		change, err := s.decodeChange(in)
		if err != nil {
			return err
		}
		if change.Revision <= last || change.Revision > s.revision {
			return fmt.Errorf("change at revision %d is out of order", change.Revision)
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

// reuseRecord replaces the new record of a decoded update by the store's record if they are equal, so that the history
// shares it.
func (s *Store) reuseRecord(update Update) Update {
	if update.After == nil {
		return update
	}
	current := s.index.get(update.After.Key)
	if current != nil && current.Revision == update.After.Revision && current.SameContent(update.After) {
		update.After = current
	}
	return update
}

// checkHistory returns an error if the changes do not result in the decoded records.
func (s *Store) checkHistory() error {
	for _, update := range mergeChanges(s.history.changes) {
		if update.After != s.index.get(update.Key()) {
			return fmt.Errorf("record %s differs from the result of the changes in the history", update.Key())
		}
	}
	return nil
}

// decodeRouting decodes the routing revisions of the services, or derives them if the format does not contain them.
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
