package records

import (
	"fmt"
	"slices"
	"sync"
)

const (
	// maxStateBytes bounds the records together, as encoded in a snapshot: twice the expected 3,400 routes and 140,000
	// tenants take about 25 MB, and a snapshot with its history has to fit into one message of 64 MB between members.
	maxStateBytes = 40 << 20
	// recordOverhead is counted for each record beside its name and body: its kind, revision and lengths as encoded.
	recordOverhead = 16
)

var kindsInOrder = []Kind{KindRoute, KindService, KindTenant, KindOverride}

// serviceZone is where a record is found by scope: an empty name concerns all services or all zones.
type serviceZone struct {
	service, zone string
}

// serviceUsage is what refers to a service.
type serviceUsage struct {
	referenceCount int   // routes, tenants and overrides that name it
	shareSum       int64 // sum of its tenants' shares, in parts of shareUnit
}

// Store holds the records, indexes over them and the changes of late. One goroutine applies transactions; any number
// may read at the same time. An applied transaction costs by its own size, not by that of the state.
type Store struct {
	contentMutex     sync.RWMutex
	revision         uint64
	bytes            int // of all records as encoded
	byKind           map[Kind]map[string]*Record
	byServiceZone    map[serviceZone]map[*Record]struct{}
	routesByPrefix   map[string][]*Record    // routes by prefix; more than one only while a transaction is checked
	usageByService   map[string]serviceUsage // by service
	lastChangeByKind map[Kind]uint64         // the revision of the last change of each kind, since the last snapshot was restored
	restoredRevision uint64                  // the revision as of the last snapshot that was restored
	routing          routingRevisions        // when routes last changed, by service
	history          history
	sorted           sortedRecords

	maxBytes int
}

var _ Source = (*Store)(nil)

// NewStore makes a store without records.
func NewStore() *Store {
	s := &Store{maxBytes: maxStateBytes, history: history{maxBytes: maxHistoryBytes}}
	s.reset()
	return s
}

func (s *Store) reset() {
	s.revision, s.bytes = 0, 0
	s.byKind = map[Kind]map[string]*Record{KindRoute: {}, KindService: {}, KindTenant: {}, KindOverride: {}}
	s.byServiceZone = map[serviceZone]map[*Record]struct{}{}
	s.routesByPrefix = map[string][]*Record{}
	s.usageByService = map[string]serviceUsage{}
	s.lastChangeByKind, s.restoredRevision = map[Kind]uint64{}, 0
	s.routing = newRouting()
	s.history = history{maxBytes: s.history.maxBytes}
	s.sorted.forget()
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
	return len(s.byKind[kind])
}

// Size is how many bytes the records take, and how many they may take.
func (s *Store) Size() (bytes, limit int) {
	s.contentMutex.RLock()
	defer s.contentMutex.RUnlock()
	return s.bytes, s.maxBytes
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
	return s.get(key)
}

func (s *Store) get(key Key) *Record { return s.byKind[key.Kind][key.Name] }

// OfKinds gives all records of some kinds. Its routing revision is that of all routes.
func (s *Store) OfKinds(kinds ...Kind) View {
	s.contentMutex.RLock()
	view := View{Records: s.ofKinds(kinds), Revision: s.revision, RoutingRevision: s.routing.highest}
	s.contentMutex.RUnlock()
	sortByKey(view.Records)
	return view
}

// ofKinds gives all records of some kinds in no order.
func (s *Store) ofKinds(kinds []Kind) (held []*Record) {
	count := 0
	for _, kind := range kinds {
		count += len(s.byKind[kind])
	}
	held = make([]*Record, 0, count)
	for _, kind := range kinds {
		for _, record := range s.byKind[kind] {
			held = append(held, record)
		}
	}
	return held
}

// InScope gives all records of a scope. It costs by what the scope holds, but for a scope of all.
func (s *Store) InScope(scope Scope) View {
	if scope.All {
		return s.OfKinds(kindsInOrder...)
	}
	scope = scope.Normalized()
	s.contentMutex.RLock()
	view := View{Revision: s.revision, RoutingRevision: s.routing.inScope(scope)}
	for _, service := range withUnnamed(scope.Services) {
		for _, zone := range withUnnamed(scope.Zones) {
			for record := range s.byServiceZone[serviceZone{service, zone}] {
				view.Records = append(view.Records, record)
			}
		}
	}
	s.contentMutex.RUnlock()
	sortByKey(view.Records)
	return view
}

// withUnnamed adds the empty name, which concerns all, to names of a normal scope.
func withUnnamed(names []string) []string {
	if len(names) > 0 && names[0] == "" {
		return names
	}
	return append([]string{""}, names...)
}

func sortByKey(list []*Record) {
	slices.SortFunc(list, func(a, b *Record) int { return a.Key.Compare(b.Key) })
}

// Apply carries out a transaction at a revision, which has to be over that of the last change. The error is an
// InvalidError, a ConflictError, a CheckError or a FullError; then nothing has changed. Writes of what is there already
// are no updates: such a record keeps its revision. The bounds of an operator's transaction are Validate's.
func (s *Store) Apply(revision uint64, transaction Transaction) (Change, error) {
	written, err := transaction.parse()
	if err != nil {
		return Change{}, err
	}
	s.contentMutex.Lock()
	defer s.contentMutex.Unlock()
	if revision <= s.revision {
		return Change{}, fmt.Errorf("revision %d is not over the last one, %d", revision, s.revision)
	}
	if err := s.checkRevisions(transaction); err != nil {
		return Change{}, err
	}
	updates := s.stampUpdates(revision, transaction, written)
	routesBefore := len(s.byKind[KindRoute])
	for _, update := range updates {
		s.replaceRecord(update.Before, update.After)
	}
	if err := s.checkRules(updates, routesBefore); err != nil {
		for _, update := range updates {
			s.replaceRecord(update.After, update.Before)
		}
		return Change{}, err
	}
	s.revision = revision
	for _, update := range updates {
		s.lastChangeByKind[update.Key().Kind] = revision
	}
	s.routing.recordChange(revision, updates)
	if transaction.Restamp {
		// Members that come to this state from different snapshots of whole texts know of different changes before it.
		s.routing.raiseAll(revision)
	}
	change := Change{Revision: revision, Updates: updates}
	s.history.add(change)
	return change, nil
}

// checkRevisions names the writes that expect another revision than their record has.
func (s *Store) checkRevisions(transaction Transaction) error {
	var conflicts []Conflict
	for _, write := range transaction.Writes {
		held := uint64(0)
		if record := s.get(write.Key); record != nil {
			held = record.Revision
		}
		if !write.AnyRevision && write.ExpectedRevision != held {
			conflicts = append(conflicts, Conflict{Key: write.Key, Expected: write.ExpectedRevision, Actual: held})
		}
	}
	if len(conflicts) > 0 {
		return &ConflictError{Conflicts: conflicts}
	}
	return nil
}

// stampUpdates gives what writes change, ordered by key. The written records are stamped with the revision.
func (s *Store) stampUpdates(revision uint64, transaction Transaction, written []*Record) []Update {
	updates := make([]Update, 0, len(written))
	for i, after := range written {
		before := s.get(transaction.Writes[i].Key)
		if after == nil && before == nil || after != nil && before != nil && before.SameContent(after) && !transaction.Restamp {
			continue
		}
		if after != nil {
			after.Revision = revision
			s.reuseStrings(after, before)
		}
		updates = append(updates, Update{Before: before, After: after})
	}
	slices.SortFunc(updates, func(a, b Update) int { return a.Key().Compare(b.Key()) })
	return updates
}

// reuseStrings has a record use the strings that the state holds already, which a tenant in two services would otherwise
// hold a copy of each.
func (s *Store) reuseStrings(record, before *Record) {
	if before != nil {
		record.Name = before.Name
	}
	if service := s.byKind[KindService][record.Service]; service != nil && record.Kind != KindService {
		record.Service = service.Name
	}
}

// replaceRecord takes a record out of the state and puts another one in; either may be nil.
func (s *Store) replaceRecord(before, after *Record) {
	if before != nil {
		s.remove(before)
	}
	if after != nil {
		s.insert(after)
	}
}

func (s *Store) insert(record *Record) {
	s.byKind[record.Kind][record.Name] = record
	s.sorted.add(record)
	s.bytes += encodedSize(record)
	at := serviceZone{record.Service, record.Zone}
	if s.byServiceZone[at] == nil {
		s.byServiceZone[at] = map[*Record]struct{}{}
	}
	s.byServiceZone[at][record] = struct{}{}
	if record.Kind == KindRoute {
		prefix := routePrefix(record)
		s.routesByPrefix[prefix] = append(s.routesByPrefix[prefix], record)
	}
	s.countReference(record, 1)
}

func (s *Store) remove(record *Record) {
	if s.byKind[record.Kind][record.Name] == record {
		delete(s.byKind[record.Kind], record.Name)
	}
	s.sorted.remove(record)
	s.bytes -= encodedSize(record)
	at := serviceZone{record.Service, record.Zone}
	if delete(s.byServiceZone[at], record); len(s.byServiceZone[at]) == 0 {
		delete(s.byServiceZone, at)
	}
	if record.Kind == KindRoute {
		s.removePrefix(record)
	}
	s.countReference(record, -1)
}

func (s *Store) removePrefix(record *Record) {
	prefix := routePrefix(record)
	left := slices.DeleteFunc(s.routesByPrefix[prefix], func(other *Record) bool { return other == record })
	if len(left) == 0 {
		delete(s.routesByPrefix, prefix)
		return
	}
	s.routesByPrefix[prefix] = left
}

// countReference notes that a record refers to its service, or (sign -1) no longer does.
func (s *Store) countReference(record *Record, sign int) {
	if record.Service == "" || record.Kind == KindService {
		return
	}
	use := s.usageByService[record.Service]
	use.referenceCount += sign
	use.shareSum += int64(sign) * record.share
	if use == (serviceUsage{}) {
		delete(s.usageByService, record.Service)
		return
	}
	s.usageByService[record.Service] = use
}

// encodedSize is what a record counts for in the bounds of the state and of the history.
func encodedSize(record *Record) int { return len(record.Name) + len(record.Body) + recordOverhead }
