package records

import "sync"

// maxStateBytes bounds the records together, as encoded in a snapshot: twice the expected 3,400 routes and 140,000 tenants
// take about 25 MB, and a snapshot with its history has to fit into one message of 64 MB between members.
const maxStateBytes = 40 << 20

// Store holds the records, indexes over them and the latest changes. One goroutine applies transactions; any number may
// read at the same time. An applied transaction costs by its own size, not by that of the state.
type Store struct {
	contentMutex sync.RWMutex // guards all below but maxBytes

	revision uint64 // of the last change
	index    index
	routing  routingRevisions // when routes last changed, by service
	history  history
	sorted   sortedRecords // for the next snapshot

	lastChangeByKind map[Kind]uint64 // revisions, since the last snapshot was restored
	restoredRevision uint64          // of the last snapshot that was restored

	maxBytes int // of index.bytes
}

var _ Source = (*Store)(nil)

// NewStore makes a store without records.
func NewStore() *Store {
	return &Store{
		index:            newIndex(),
		routing:          newRoutingRevisions(),
		history:          history{maxBytes: maxHistoryBytes},
		lastChangeByKind: map[Kind]uint64{},
		maxBytes:         maxStateBytes,
	}
}

// Revision is that of the last change.
func (s *Store) Revision() uint64 {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.revision
}

// Count is how many records of a kind there are.
func (s *Store) Count(kind Kind) int {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return len(s.index.byKind[kind])
}

// Size is how many bytes the records take as encoded, and how many they may take.
func (s *Store) Size() (bytes, limit int) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.index.bytes, s.maxBytes
}

// LastChange is the revision at which records of some kinds last changed, so that who needs only those need not look
// after each change. After a snapshot was restored it is at least the snapshot's.
func (s *Store) LastChange(kinds ...Kind) uint64 {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	last := s.restoredRevision
	for _, kind := range kinds {
		last = max(last, s.lastChangeByKind[kind])
	}
	return last
}

// Get gives a record, nil if there is none of that key.
func (s *Store) Get(key Key) *Record {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.index.get(key)
}

// OfKinds gives all records of some kinds. Its routing revision is that of all routes.
func (s *Store) OfKinds(kinds ...Kind) View {
	s.contentMutex.RLock()
	view := View{Records: s.index.ofKinds(kinds), Revision: s.revision, RoutingRevision: s.routing.highest}
	s.contentMutex.RUnlock()
	sortByKey(view.Records) // beside the lock, so that a long sort holds up no writer
	return view
}

// InScope gives all records of a scope. It costs by what the scope holds, but for a scope of all.
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
