package records

// Update describes the effect of a change on one record.
type Update struct {
	Before *Record // nil: the record was created
	After  *Record // nil: the record was removed
}

// Key returns the key of the record.
func (u Update) Key() Key {
	if u.After != nil {
		return u.After.Key
	}
	return u.Before.Key
}

// Change describes the effect of one entry of the log on the records.
type Change struct {
	Revision uint64
	Updates  []Update // one for each affected record, ordered by key
	// Reset reports that a snapshot replaced the whole state; Updates is then empty, although records may have changed.
	// Only tests read it: configsync uses the revision of a change, and reads the differences from Source.Since.
	Reset bool
}

// View holds a set of records as of one revision.
type View struct {
	Records  []*Record // ordered by key
	Revision uint64    // as of which the records are complete
	// RoutingRevision is the revision at which a route of the scope was last created, changed, removed, or moved into or
	// out of the scope. It never decreases, and is the same for all readers of the same scope as of the same revision.
	RoutingRevision uint64
}

// Delta holds the changes in a scope up to a revision.
type Delta struct {
	Updates         []Update // one for each affected record, ordered by key
	Revision        uint64   // as of which the updates are complete
	RoutingRevision uint64   // as in a View; may increase without an update if a route was created and removed
	Available       bool     // false if the changes are no longer retained; Updates is then empty
}

// Source provides the records that are sent to followers. Its methods may be called from any goroutine.
type Source interface {
	// Revision returns the revision of the last change.
	Revision() uint64
	// InScope returns all records of a scope.
	InScope(scope Scope) View
	// Since returns the changes in a scope after a revision.
	Since(revision uint64, scope Scope) Delta
}
