package records

import (
	"cmp"
	"slices"
)

const (
	// maxHistoryBytes bounds the changes that are retained for followers that missed them and for rolling back. A change
	// of one tenant counts as about 160 bytes (TestChangeCostDoesNotGrowWithTheStore), so that about 50,000 are retained.
	maxHistoryBytes = 8 << 20
	// changeOverheadBytes is added to the size of each change for its encoded revision and number of updates.
	changeOverheadBytes = 16
)

// history holds the latest changes in ascending order of revision. All revisions are greater than compactRevision.
type history struct {
	changes         []Change
	compactRevision uint64 // changes up to this revision are no longer retained
	bytes           int    // sum of changeSize over the changes
	maxBytes        int
}

// add appends a change, and drops the oldest changes while the history exceeds its bound.
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
	h.changes[0] = Change{} // releases its records before append reallocates the slice
	h.changes = h.changes[1:]
}

// dropAll drops all changes. The revision must be that of the last change; it becomes the compact revision.
func (h *history) dropAll(revision uint64) {
	*h = history{maxBytes: h.maxBytes, compactRevision: revision}
}

// covers reports whether all changes after a revision are retained.
func (h *history) covers(revision uint64) bool { return revision >= h.compactRevision }

// since returns the changes after a revision.
func (h *history) since(revision uint64) []Change {
	position, found := slices.BinarySearchFunc(h.changes, revision, func(c Change, r uint64) int { return cmp.Compare(c.Revision, r) })
	if found {
		position++
	}
	return h.changes[position:]
}

// changeSize returns the bytes that a change counts toward the bound of the history.
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

// mergeChanges returns the combined effect of several changes: one update for each record, ordered by key. A record
// that they both create and remove has no update.
func mergeChanges(changes []Change) []Update {
	if len(changes) == 1 {
		return changes[0].Updates
	}
	byKey := map[Key]Update{}
	for _, change := range changes {
		for _, update := range change.Updates {
			key := update.Key()
			if earlier, found := byKey[key]; found {
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
