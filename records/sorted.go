package records

import (
	"slices"
	"sync"
)

// unsortedLimitRatio bounds the changes since the last snapshot: once the added or the removed records exceed
// 1/unsortedLimitRatio of the sorted ones, the cache is discarded and the next snapshot sorts all records.
const unsortedLimitRatio = 4

// sortedRecords caches the records in the order of their keys as of the last snapshot, together with the records added
// and removed since, so that the next snapshot need not sort all records.
type sortedRecords struct {
	// recordsMutex guards the fields below against concurrent snapshots, which hold the store's lock only for reading.
	// Records are added and removed with the store's lock held for writing.
	recordsMutex sync.Mutex
	records      []*Record            // nil: no snapshot was taken, or too much changed since
	added        []*Record            // since the last snapshot
	removed      map[*Record]struct{} // removed from records or from added
}

// add adds a record. If the same record was removed before, as when a rejected transaction is reverted, it is still in
// one of the lists and only its removal is undone.
func (o *sortedRecords) add(record *Record) {
	if o.records == nil {
		return
	}
	if _, wasRemoved := o.removed[record]; wasRemoved {
		delete(o.removed, record)
		return
	}
	o.added = append(o.added, record)
	o.limitUnsorted()
}

func (o *sortedRecords) remove(record *Record) {
	if o.records == nil {
		return
	}
	o.removed[record] = struct{}{}
	o.limitUnsorted()
}

// limitUnsorted discards the cache if too much changed since the last snapshot; see unsortedLimitRatio.
func (o *sortedRecords) limitUnsorted() {
	if max(len(o.added), len(o.removed)) > len(o.records)/unsortedLimitRatio {
		o.invalidate()
	}
}

// invalidate discards the cache, so that the next snapshot sorts all records.
func (o *sortedRecords) invalidate() {
	o.records = nil
	o.added = nil
	o.removed = nil
}

// set replaces the cache by records that are sorted by key.
func (o *sortedRecords) set(sorted []*Record) {
	o.records = sorted
	o.added = nil
	o.removed = map[*Record]struct{}{}
}

// all returns all records of an index, ordered by key. The store's lock must be held for reading.
func (o *sortedRecords) all(x *index) []*Record {
	o.recordsMutex.Lock()
	defer o.recordsMutex.Unlock()
	if o.records == nil {
		records := x.ofKinds(kindsInOrder)
		sortByKey(records)
		o.set(records)
		return o.records
	}
	added := o.withoutRemoved(o.added)
	sortByKey(added)
	o.set(mergeByKey(o.withoutRemoved(o.records), added))
	return o.records
}

// withoutRemoved returns the records of a list that were not removed.
func (o *sortedRecords) withoutRemoved(list []*Record) []*Record {
	remaining := make([]*Record, 0, len(list))
	for _, record := range list {
		if _, removed := o.removed[record]; !removed {
			remaining = append(remaining, record)
		}
	}
	return remaining
}

// mergeByKey merges two sorted lists that have no common keys.
func mergeByKey(a, b []*Record) []*Record {
	if len(b) == 0 {
		return a
	}
	merged := make([]*Record, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compareRecords(a[0], b[0]) < 0 {
			merged = append(merged, a[0])
			a = a[1:]
		} else {
			merged = append(merged, b[0])
			b = b[1:]
		}
	}
	merged = append(merged, a...)
	return append(merged, b...)
}

func sortByKey(list []*Record) { slices.SortFunc(list, compareRecords) }

// compareRecords orders records by key.
func compareRecords(a, b *Record) int { return a.Compare(b.Key) }
