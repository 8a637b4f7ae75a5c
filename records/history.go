package records

import (
	"cmp"
	"slices"
)

const (
	// maxHistoryBytes bounds the changes that are retained for followers which missed them, and for rolling back. A
	// change of one tenant counts some 160 bytes (TestChangeCostDoesNotGrowWithTheStore), so that some 50,000 are retained.
	maxHistoryBytes = 8 << 20
	// changeOverheadBytes is counted for each change beside its records: its revision and number of updates as encoded.
	changeOverheadBytes = 16
)

// history is the latest changes, by rising revision, each over compactRevision.
type history struct {
	changes         []Change
	compactRevision uint64 // changes up to this revision are no longer known
	bytes           int    // of the changes, by changeSize
	maxBytes        int
}

// add adds a change and drops the oldest ones over the bound.
func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	h.bytes += changeSize(change)
	for h.bytes > h.maxBytes && len(h.changes) > 0 {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	oldest := h.changes[0]
	h.bytes -= changeSize(oldest)
	h.compactRevision = oldest.Revision
	h.changes[0] = Change{} // lets its records go before append moves the slice
	h.changes = h.changes[1:]
}

// forget drops all changes up to a revision, which is that of the last one.
func (h *history) forget(revision uint64) {
	*h = history{maxBytes: h.maxBytes, compactRevision: revision}
}

// knows reports whether all changes after a revision are known.
func (h *history) knows(revision uint64) bool { return revision >= h.compactRevision }

// since gives the changes after a revision.
func (h *history) since(revision uint64) []Change {
	at, found := slices.BinarySearchFunc(h.changes, revision, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	if found {
		at++
	}
	return h.changes[at:]
}

// changeSize is what a change counts for in the bound of the history, in bytes.
func changeSize(change Change) int {
	size := changeOverheadBytes
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

// mergeChanges gives what several changes do together, one update a record and ordered by key. A record that was created
// and removed within them has none.
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
	slices.SortFunc(merged, compareUpdates)
	return merged
}

// compareUpdates orders updates by key.
func compareUpdates(a, b Update) int { return a.Key().Compare(b.Key()) }
