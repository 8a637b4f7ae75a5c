package records

// Update is what a change did to one record.
type Update struct {
	Before *Record // nil: it was created
	After  *Record // nil: it was removed
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
	Updates  []Update // one a record, ordered by key
	// Reset says that a snapshot replaced the whole state; Updates is then empty and does not tell what differs. Only tests
	// read it: configsync takes the revision of a change, and reads what differs from Source.Since.
	Reset bool
}

// View is records as of one revision.
type View struct {
	Records  []*Record // ordered by key
	Revision uint64    // as of which the records are complete
	// RoutingRevision is the revision at which a route of the scope was last created, changed, removed or moved in or
	// out. It never goes down, and is the same at all who read the same scope as of the same revision.
	RoutingRevision uint64
}

// Delta is what changed up to a revision.
type Delta struct {
	Updates         []Update // one a record, ordered by key
	Revision        uint64   // as of which the updates are complete
	RoutingRevision uint64   // as in a View; it may have risen without an update, where a route came and went
	Available       bool     // false if changes that far back are no longer known; then there are no updates
}

// Source is where the records are read that followers are sent. Its methods may be called from any goroutine.
type Source interface {
	// Revision is that of the last change.
	Revision() uint64
	// InScope gives all records of a scope.
	InScope(scope Scope) View
	// Since gives what changed in a scope after a revision.
	Since(revision uint64, scope Scope) Delta
}
