package records

import "sync"

// unsortedLimitRatio is the part of the sorted records that may come or go before all are sorted again.
const unsortedLimitRatio = 4

// sortedRecords remembers the records by key as of the last snapshot, and those that came and went since, so that the next
// snapshot need not sort all. Its own lock is there for snapshots that are made at the same time; records are added and
// removed under the store's lock.
type sortedRecords struct {
	mutex   sync.Mutex
	records []*Record            // nil: no snapshot was made, or too much changed since
	added   []*Record            // that came since
	removed map[*Record]struct{} // of both
}

// add takes a record in. One that went and is back, as after a refused transaction, has its place already.
func (o *sortedRecords) add(record *Record) {
	if o.records == nil {
		return
	}
	if _, back := o.removed[record]; back {
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

func (o *sortedRecords) limitUnsorted() {
	if max(len(o.added), len(o.removed)) > len(o.records)/unsortedLimitRatio {
		o.forget()
	}
}

// forget has the next snapshot sort all.
func (o *sortedRecords) forget() { o.records, o.added, o.removed = nil, nil, nil }

// all gives all records of the store by key. The store's lock has to be held for reading.
func (o *sortedRecords) all(s *Store) []*Record {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.records == nil {
		o.records = s.ofKinds(kindsInOrder)
		sortByKey(o.records)
	} else {
		fresh := o.withoutRemoved(o.added)
		sortByKey(fresh)
		o.records = mergeByKey(o.withoutRemoved(o.records), fresh)
	}
	o.added, o.removed = nil, map[*Record]struct{}{}
	return o.records
}

// withoutRemoved gives the records of a list that are not gone.
func (o *sortedRecords) withoutRemoved(list []*Record) []*Record {
	held := make([]*Record, 0, len(list))
	for _, record := range list {
		if _, gone := o.removed[record]; !gone {
			held = append(held, record)
		}
	}
	return held
}

// mergeByKey makes one sorted list of two without common keys.
func mergeByKey(a, b []*Record) []*Record {
	if len(b) == 0 {
		return a
	}
	merged := make([]*Record, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Key.Compare(b[0].Key) < 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}
