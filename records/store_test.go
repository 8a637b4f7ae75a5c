package records

import (
	"errors"
	"sync"
	"testing"
)

func TestRevisionsOnlyIncrease(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "a", ServiceSpec{}))
	var revisionError *RevisionError
	if _, err := s.Apply(1, Transaction{Writes: []Write{write(KindService, "b", ServiceSpec{})}}); !errors.As(err, &revisionError) {
		t.Errorf("revision of the last change: got error %v, want a RevisionError", err)
	}
	change := apply(t, s, write(KindService, "a", ServiceSpec{}))
	if len(change.Updates) != 0 || s.Revision() != 2 || s.Get(Key{KindService, "a"}).Revision != 1 {
		t.Errorf("write without a change: got updates %q, store at revision %d, record at %d, want none, 2 and 1",
			describeUpdates(change.Updates), s.Revision(), s.Get(Key{KindService, "a"}).Revision)
	}
}

func TestLastChangeIsTrackedByKind(t *testing.T) {
	s := NewStore()
	expect := func(want uint64, kinds ...Kind) {
		t.Helper()
		if got := s.LastChange(kinds...); got != want {
			t.Errorf("last change of %v: got revision %d, want %d", kinds, got, want)
		}
	}
	expect(0, KindRoute)
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindRoute, "a", RouteSpec{Prefix: "/a", TimeLimitMS: 1}))
	apply(t, s, write(KindTenant, "x", TenantSpec{Service: "pay", Share: 1}))
	apply(t, s, removal(KindTenant, "x"))
	expect(1, KindRoute, KindOverride)
	expect(3, KindTenant)
	expect(3, KindRoute, KindTenant)
	if _, err := s.Apply(4, Transaction{Writes: []Write{removal(KindRoute, "a")}}); err == nil {
		t.Error("removal of the last route: got no error, want one")
	}
	expect(1, KindRoute)
	if err := s.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	expect(3, KindOverride) // overrides may have changed: the state before the snapshot is unknown
}

// Followers read on many goroutines while entries are applied. A read that mixed two revisions would give a follower a
// state that was never agreed on. Here two records are always written together, so that each read must return both with
// the same revision. The race detector checks this test as well.
func TestReadersSeeOneRevision(t *testing.T) {
	s := NewStore()
	both := func(limit float64) []Write {
		return []Write{write(KindRoute, "a", RouteSpec{Prefix: "/a", TimeLimitMS: limit}), write(KindRoute, "b", RouteSpec{Prefix: "/b", TimeLimitMS: limit})}
	}
	apply(t, s, both(1)...)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				view := s.InScope(Scope{})
				records, revision := view.Records, view.Revision
				if view.RoutingRevision != revision {
					t.Errorf("routing revision: got %d, want %d, the revision of the view", view.RoutingRevision, revision)
					return
				}
				if len(records) != 2 || records[0].Revision != revision || records[1].Revision != revision {
					t.Errorf("view: got %q, want two records with revision %d", describeAll(records), revision)
					return
				}
				delta := s.Since(revision-1, Scope{})
				if updates := delta.Updates; !delta.Available || len(updates) != 2 || updates[0].After.Revision != updates[1].After.Revision || updates[0].After.Revision != delta.RoutingRevision {
					t.Errorf("delta: got updates %q, available %v, want two updates of revision %d, available true", describeUpdates(updates), delta.Available, delta.RoutingRevision)
					return
				}
			}
		})
	}
	for i := range 2000 {
		apply(t, s, both(float64(2+i%100))...)
	}
	if err := s.Restore(s.Snapshot()); err != nil {
		t.Error(err)
	}
	close(done)
	readers.Wait()
}
