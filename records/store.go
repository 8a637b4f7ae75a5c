package records

import "sync"

// maxStateBytes bounds the total size of the records as encoded in a snapshot. Twice the expected 3,400 routes and
// 140,000 tenants take about 25 MB, and a snapshot with its history must fit into one message of 64 MB between members.
const maxStateBytes = 40 << 20

// Store holds the records, their indexes and the latest changes. Transactions must be applied by a single goroutine;
// any number of goroutines may read concurrently. The cost of applying a transaction depends on its size, not on the
// size of the state.
type Store struct {
	contentMutex sync.RWMutex // guards the fields below except maxBytes

	revision uint64 // of the last change
	index    index
	routing  routingRevisions // revisions at which routes last changed, by service
	history  history
	sorted   sortedRecords // cache for the next snapshot

	lastChangeByKind map[Kind]uint64 // revision of the last change since a snapshot was restored
	restoredRevision uint64          // revision of the last restored snapshot

	maxBytes int // bound on index.bytes
}

var _ Source = (*Store)(nil)

// NewStore returns a store without records.
func NewStore() *Store {
	return &Store{
		index:            newIndex(),
		routing:          newRoutingRevisions(),
		history:          history{maxBytes: maxHistoryBytes},
		lastChangeByKind: map[Kind]uint64{},
		maxBytes:         maxStateBytes,
	}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.revision
}

// Count returns the number of records of a kind.
func (s *Store) Count(kind Kind) int {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return len(s.index.byKind[kind])
}

// Size returns the size of the encoded records and its bound, in bytes.
func (s *Store) Size() (bytes, limit int) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.index.bytes, s.maxBytes
}

// LastChange returns the revision at which a record of the given kinds last changed, so that a caller that needs only
// these kinds can ignore other changes. After a snapshot is restored, the result is at least the revision of the
// snapshot.
func (s *Store) LastChange(kinds ...Kind) uint64 {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	last := s.restoredRevision
	for _, kind := range kinds {
		last = max(last, s.lastChangeByKind[kind])
	}
	return last
}

// Get returns the record with a key, or nil if there is none.
func (s *Store) Get(key Key) *Record {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.index.get(key)
}

// OfKinds returns all records of the given kinds. The routing revision of the View is that of all routes.
func (s *Store) OfKinds(kinds ...Kind) View {
	s.contentMutex.RLock()
	view := View{Records: s.index.ofKinds(kinds), Revision: s.revision, RoutingRevision: s.routing.highest}
	s.contentMutex.RUnlock()
	sortByKey(view.Records) // without the lock, so that a long sort does not block the writer
	return view
}

// InScope returns all records of a scope. Unless the scope contains all records, the cost depends only on
// the number of records in it.
func (s *Store) InScope(scope Scope) View {
	if scope.All {
		return s.OfKinds(kindsInOrder...)
	}
	scope = scope.Normalized()
	s.contentMutex.RLock()
	view := View{Records: s.index.inScope(scope), Revision: s.revision, RoutingRevision: s.routing.inScope(scope)}
	s.contentMutex.RUnlock()
	sortByKey(view.Records)
	return view
}
