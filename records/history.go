package records

import (
	"cmp"
	"slices"
)

const (
	// maxHistoryBytes bounds the changes that are kept to tell followers what they missed. A change of one tenant counts
	// about 200 bytes, so that some 40,000 are kept: five days of the expected 7,800 a day.
	maxHistoryBytes = 8 << 20
	// changeOverhead is counted for each change beside its records: its revision and number of updates as encoded.
	changeOverhead = 16
)

// history is the changes of late. Those dropped stay in the slice's dead front until append moves it.
type history struct {
	changes         []Change
	compactRevision uint64 // changes up to this revision are no longer known
	bytes           int
	maxBytes        int
}

// add takes a change in and drops the oldest over the bound.
func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	h.bytes += changeSize(change)
	for h.bytes > h.maxBytes && len(h.changes) > 0 {
		oldest := h.changes[0]
		h.bytes -= changeSize(oldest)
		h.compactRevision = oldest.Revision
		h.changes[0] = Change{} // lets its records go before the slice moves
		h.changes = h.changes[1:]
	}
}

// since gives the changes after a revision.
func (h *history) since(revision uint64) []Change {
	at, found := slices.BinarySearchFunc(h.changes, revision, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	if found {
		at++
	}
	return h.changes[at:]
}

func changeSize(change Change) int {
	size := changeOverhead
	for _, update := range change.Updates {
		if update.Before != nil {
			size += encodedSize(update.Before)
		}
		if update.After != nil {
			size += encodedSize(update.After)
		}
	}
	return size
}

// Since gives what changed in a scope after a revision. A revision of the future has no updates yet. It costs by the
// changes after the revision.
func (s *Store) Since(revision uint64, scope Scope) Delta {
	if !scope.All {
		scope = scope.Normalized()
	}
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	delta := Delta{Revision: s.revision, RoutingRevision: s.routing.inScope(scope), Available: revision >= s.history.compactRevision}
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

// mergeChanges gives what several changes do together, one update a record and ordered by key. A record that was created and
// removed within them has none.
func mergeChanges(changes []Change) []Update {
	if len(changes) == 1 {
		return changes[0].Updates
	}
	byKey := map[Key]Update{}
	for _, change := range changes {
		for _, update := range change.Updates {
			key := update.Key()
			if earlier, known := byKey[key]; known {
				update.Before = earlier.Before
			}
			if update.Before == nil && update.After == nil {
				delete(byKey, key)
				continue
			}
			byKey[key] = update
		}
	}
	merged := make([]Update, 0, len(byKey))
	for _, update := range byKey {
		merged = append(merged, update)
	}
	slices.SortFunc(merged, func(a, b Update) int { return a.Key().Compare(b.Key()) })
	return merged
}

// Forget drops the history: what was before the last change is not known any more.
func (s *Store) Forget() {
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	s.history = history{maxBytes: s.history.maxBytes, compactRevision: s.revision}
}

// At gives all records as they were at a revision, ordered by key. Kept is false if the changes since are no longer
// known or the revision is not yet there.
func (s *Store) At(revision uint64) (held []*Record, kept bool) {
	s.contentMutex.RLock()
	if revision < s.history.compactRevision || revision > s.revision {
		s.contentMutex.RUnlock()
		return nil, false
	}
	undone := map[Key]*Record{}
	for _, update := range mergeChanges(s.history.since(revision)) {
		undone[update.Key()] = update.Before
	}
	for _, list := range s.byKind {
		for _, record := range list {
			if _, changed := undone[record.Key]; !changed {
				held = append(held, record)
			}
		}
	}
	s.contentMutex.RUnlock()
	for _, record := range undone {
		if record != nil {
			held = append(held, record)
		}
	}
	sortByKey(held)
	return held, true
}

// Reversal is the transaction that brings the records back to what they were at a revision, whatever else is written
// meanwhile. Kept is as for At.
func (s *Store) Reversal(revision uint64) (transaction Transaction, kept bool) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	if revision < s.history.compactRevision || revision > s.revision {
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
