package records

import (
	"errors"
	"sync"
	"testing"
)

func TestRevisionsOnlyRise(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "a", ServiceSpec{}))
	var revisionError *RevisionError
	if _, err := s.Apply(1, Transaction{Writes: []Write{write(KindService, "b", ServiceSpec{})}}); !errors.As(err, &revisionError) {
		t.Errorf("the same revision twice: %v", err)
	}
	change := apply(t, s, write(KindService, "a", ServiceSpec{}))
	if len(change.Updates) != 0 || s.Revision() != 2 || s.Get(Key{KindService, "a"}).Revision != 1 {
		t.Errorf("a write of what is there: %q, revision %d", describeUpdates(change.Updates), s.Revision())
	}
}

func TestLastChangeIsKeptByKind(t *testing.T) {
	s := NewStore()
	expect := func(want uint64, kinds ...Kind) {
		t.Helper()
		if got := s.LastChange(kinds...); got != want {
			t.Errorf("%v changed at %d, want %d", kinds, got, want)
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
		t.Error("the last route was removed")
	}
	expect(1, KindRoute)
	if err := s.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	expect(3, KindOverride) // it may have changed: what was there before is not known
}

// Followers read on many goroutines while entries are applied. A reading of two revisions would put a follower into a
// state that was never agreed on. Each has to be of one revision: two records that are always written together agree.
// The race detector looks at it as well.
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
				held, at := view.Records, view.Revision
				if view.RoutingRevision != at {
					t.Errorf("routes changed at revision %d, read as of %d", view.RoutingRevision, at)
					return
				}
				if len(held) != 2 || held[0].Revision != at || held[1].Revision != at {
					t.Errorf("%q as of %d", describeAll(held), at)
					return
				}
				delta := s.Since(at-1, Scope{})
				if updates := delta.Updates; !delta.Available || len(updates) != 2 || updates[0].After.Revision != updates[1].After.Revision || updates[0].After.Revision != delta.RoutingRevision {
					t.Errorf("%q", describeUpdates(updates))
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
