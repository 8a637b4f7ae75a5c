package records

import "sync"

// maxUnsortedPart is the part of the sorted records that may come or go before all are sorted again.
const maxUnsortedPart = 4

// order remembers the records by key as of the last snapshot, and those that came and went since, so that the next
// snapshot need not sort all. Its own lock is there for snapshots that are made at the same time; records are added and
// removed under the store's lock.
type order struct {
	lock   sync.Mutex
	sorted []*Record            // nil: no snapshot was made, or too much changed since
	fresh  []*Record            // that came since
	gone   map[*Record]struct{} // of both
}

// add takes a record in. One that went and is back, as after a refused transaction, has its place already.
func (o *order) add(record *Record) {
	if o.sorted == nil {
		return
	}
	if _, back := o.gone[record]; back {
		delete(o.gone, record)
		return
	}
	o.fresh = append(o.fresh, record)
	o.bound()
}

func (o *order) remove(record *Record) {
	if o.sorted == nil {
		return
	}
	o.gone[record] = struct{}{}
	o.bound()
}

func (o *order) bound() {
	if max(len(o.fresh), len(o.gone)) > len(o.sorted)/maxUnsortedPart {
		o.forget()
	}
}

// forget has the next snapshot sort all.
func (o *order) forget() { o.sorted, o.fresh, o.gone = nil, nil, nil }

// of gives all records of the store by key. The store's lock has to be held for reading.
func (o *order) of(s *Store) []*Record {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.sorted == nil {
		o.sorted = s.ofKinds(allKinds)
		sortByKey(o.sorted)
	} else {
		fresh := o.present(o.fresh)
		sortByKey(fresh)
		o.sorted = mergeByKey(o.present(o.sorted), fresh)
	}
	o.fresh, o.gone = nil, map[*Record]struct{}{}
	return o.sorted
}

// present gives the records of a list that are not gone.
func (o *order) present(list []*Record) []*Record {
	held := make([]*Record, 0, len(list))
	for _, record := range list {
		if _, gone := o.gone[record]; !gone {
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
