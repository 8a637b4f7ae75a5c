package records

import "slices"

// Update is what a change did to one record: Before is nil if it was created, After if it was removed.
type Update struct {
	Before, After *Record
}

// Key names the record.
func (u Update) Key() Key {
	if u.After != nil {
		return u.After.Key
	}
	return u.Before.Key
}

// Change is what one entry of the log did to the records.
type Change struct {
	Revision uint64
	Updates  []Update
	Reset    bool // the whole state was replaced, by a snapshot: Updates does not tell what differs
}

// Scope is the part of the records that a conductor needs.
type Scope struct {
	All      bool // everything
	Services []string
	Zones    []string // overrides of other zones are left out
}

// Normalized gives the scope with its names sorted and without repeats.
func (s Scope) Normalized() Scope {
	s.Services, s.Zones = slices.Clone(s.Services), slices.Clone(s.Zones)
	slices.Sort(s.Services)
	slices.Sort(s.Zones)
	s.Services, s.Zones = slices.Compact(s.Services), slices.Compact(s.Zones)
	return s
}

// Contains tells whether a record belongs to the scope. The scope has to be normal.
func (s Scope) Contains(r *Record) bool {
	if r == nil {
		return false
	}
	if s.All {
		return true
	}
	return matchesName(s.Services, r.Service) && matchesName(s.Zones, r.Zone)
}

// Touches tells whether an update changes what the scope holds.
func (s Scope) Touches(u Update) bool { return s.Contains(u.Before) || s.Contains(u.After) }

// matchesName tells whether a sorted list names something; what has no name concerns all.
func matchesName(sorted []string, name string) bool {
	if name == "" {
		return true
	}
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// View is records as of one revision.
type View struct {
	Records  []*Record // ordered by key
	Revision uint64    // as of which the records are complete
	// RoutingRevision is the revision at which a route of the scope was last created, changed, removed or moved in or out. It
	// never goes down, and is the same at all who read the same scope as of the same revision.
	RoutingRevision uint64
}

// Delta is what changed up to a revision.
type Delta struct {
	Updates         []Update // one a record, ordered by key
	Revision        uint64   // as of which the updates are complete
	RoutingRevision uint64   // as in a View; it may have risen without an update, where a route came and went
	Available       bool     // false if changes that far back are no longer known; then there are no updates
}

// Source is where the records are read that followers are told of. Its methods may be called from any goroutine.
type Source interface {
	// Revision is that of the last change.
	Revision() uint64
	// InScope gives all records of a scope.
	InScope(scope Scope) View
	// Since gives what changed in a scope after a revision.
	Since(revision uint64, scope Scope) Delta
}
