package records

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func routeOf(name, service string, limit float64) Write {
	return write(KindRoute, name, RouteSpec{Service: service, Prefix: "/" + name, TimeLimitMS: limit})
}

func scopeOf(services ...string) Scope { return Scope{Services: services} }

// expectRouting compares the routing revisions of some scopes, as both readings give them.
func expectRouting(t *testing.T, s *Store, wants map[string]uint64) {
	t.Helper()
	for names, want := range wants {
		scope := scopeOf(strings.Fields(names)...)
		if names == "all" {
			scope = Scope{All: true}
		}
		if view, delta := s.InScope(scope), s.Since(s.Revision(), scope); view.RoutingRevision != want || delta.RoutingRevision != want {
			t.Errorf("routes of %q changed at revision %d and %d, want %d", names, view.RoutingRevision, delta.RoutingRevision, want)
		}
	}
}

// storeWithRemovedRoute has routes of three services, of which the newest was removed and one has moved.
func storeWithRemovedRoute(t *testing.T) *Store {
	s := NewStore()
	apply(t, s, write(KindService, "a", ServiceSpec{}), write(KindService, "b", ServiceSpec{}), write(KindService, "c", ServiceSpec{}),
		routeOf("a1", "a", 1), routeOf("b1", "b", 1))
	apply(t, s, routeOf("plain", "", 1))
	apply(t, s, routeOf("a2", "a", 1))
	apply(t, s, removal(KindRoute, "a2"))
	apply(t, s, write(KindTenant, "t", TenantSpec{Service: "c", Share: 1}), write(KindOverride, "n", OverrideSpec{Service: "c", State: StateGone}))
	apply(t, s, routeOf("b1", "c", 1))
	return s
}

// The revision of a scope's routes is that of their last change, be it that the newest of them goes or that one moves.
func TestRoutingRevisionIsThatOfTheLastRouteChange(t *testing.T) {
	s := storeWithRemovedRoute(t)
	expectRouting(t, s, map[string]uint64{"": 2, "a": 4, "b": 6, "c": 6, "a b": 6, "none": 2, "all": 6})
	apply(t, s, removal(KindOverride, "n"), removal(KindTenant, "t"))
	apply(t, s, routeOf("b1", "c", 1)) // is there already
	if _, err := s.Apply(9, Transaction{Writes: []Write{removal(KindRoute, "plain"), removal(KindService, "a")}}); err == nil {
		t.Error("a service in use was removed")
	}
	expectRouting(t, s, map[string]uint64{"": 2, "a": 4, "c": 6, "all": 6})
	apply(t, s, removal(KindRoute, "b1"), removal(KindService, "c"))
	expectRouting(t, s, map[string]uint64{"a": 4, "b": 6, "c": 9, "all": 9}) // also of a service that is gone
}

// A snapshot has the revisions of routes that are gone.
func TestRoutingRevisionsAreInTheSnapshot(t *testing.T) {
	s, again := storeWithRemovedRoute(t), NewStore()
	s.Forget()
	snapshot := s.Snapshot()
	if err := again.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	expectRouting(t, again, map[string]uint64{"": 2, "a": 4, "b": 6, "c": 6, "all": 6})
	if !slices.Equal(again.Snapshot(), snapshot) {
		t.Error("a restored store gives another snapshot")
	}
}

// withoutRouting is a store's snapshot in the older format.
func withoutRouting(s *Store) []byte {
	snapshot := s.Snapshot()
	snapshot[0] = formatWithoutRouting
	return snapshot[:len(snapshot)-len(s.routing.appendTo(nil))]
}

// Of an older snapshot the revisions are derived: exactly where the changes are known, else from the routes held.
func TestRoutingRevisionsAreDerivedFromAnOlderSnapshot(t *testing.T) {
	s, again := storeWithRemovedRoute(t), NewStore()
	if err := again.Restore(withoutRouting(s)); err != nil {
		t.Fatal(err)
	}
	expectRouting(t, again, map[string]uint64{"": 2, "a": 4, "b": 6, "c": 6, "all": 6})
	if !slices.Equal(again.Snapshot(), s.Snapshot()) {
		t.Error("a store that was restored from an older snapshot gives another one")
	}
	s.Forget()
	if err := again.Restore(withoutRouting(s)); err != nil {
		t.Fatal(err)
	}
	expectRouting(t, again, map[string]uint64{"": 2, "a": 2, "b": 2, "c": 6, "all": 6})
}

// A snapshot whose routing revisions can't be those of its records is rejected.
func TestDamagedRoutingRevisionsAreRejected(t *testing.T) {
	s := storeWithRemovedRoute(t)
	base := withoutRouting(s)
	base[0] = snapshotFormat
	encoded := func(defaultRevision uint64, entries ...any) []byte {
		out := binary.AppendUvarint(slices.Clone(base), defaultRevision)
		out = binary.AppendUvarint(out, uint64(len(entries)/2))
		for at := 0; at < len(entries); at += 2 {
			out = appendBytes(out, entries[at].(string))
			out = binary.AppendUvarint(out, uint64(entries[at+1].(int)))
		}
		return out
	}
	if good := encoded(0, "", 2, "a", 4, "b", 6, "c", 6); !slices.Equal(good, s.Snapshot()) {
		t.Fatal("the test does not encode as a snapshot does")
	}
	for name, data := range map[string][]byte{
		"over the revision":         encoded(0, "", 2, "a", 4, "b", 6, "c", 7),
		"default over the revision": encoded(7),
		"out of order":              encoded(0, "", 2, "b", 6, "a", 4, "c", 6),
		"twice":                     encoded(0, "", 2, "a", 4, "a", 5, "c", 6),
		"not over the default":      encoded(2, "", 2, "a", 4, "b", 6, "c", 6),
		"under a route's":           encoded(0, "", 2, "a", 4, "b", 6, "c", 5),
		"a service missing":         encoded(0, "", 2, "a", 4, "b", 6),
	} {
		if err := NewStore().Restore(data); err == nil {
			t.Errorf("%s: it was accepted", name)
		}
	}
}

// A restamp, as of whole texts, leaves equal bytes whatever services were known of before.
func TestRestampLeavesOneRoutingRevision(t *testing.T) {
	s := storeWithRemovedRoute(t)
	s.Forget()
	derived := NewStore()
	if err := derived.Restore(withoutRouting(s)); err != nil {
		t.Fatal(err)
	}
	for _, store := range []*Store{s, derived} {
		if _, err := store.Apply(9, Transaction{Restamp: true, Writes: []Write{routeOf("a1", "a", 1), routeOf("b1", "c", 1), routeOf("plain", "", 1)}}); err != nil {
			t.Fatal(err)
		}
		expectRouting(t, store, map[string]uint64{"": 9, "a": 9, "b": 9, "all": 9})
	}
	if !slices.Equal(s.Snapshot(), derived.Snapshot()) {
		t.Error("the snapshots differ")
	}
}

// However many services have had routes, a bounded number is retained, and no scope's revision goes down.
func TestRoutingRevisionsAreBounded(t *testing.T) {
	s := NewStore()
	s.routing.maxServices = 10
	apply(t, s, routeOf("plain", "", 1))
	last := map[string]uint64{}
	for n := range 100 {
		service, name := fmt.Sprintf("s%02d", n), fmt.Sprintf("r%02d", n)
		apply(t, s, write(KindService, service, ServiceSpec{}), routeOf(name, service, 1))
		apply(t, s, removal(KindRoute, name), removal(KindService, service))
		last[service] = s.Revision()
		if retained := len(s.routing.byService); retained > 10 {
			t.Fatalf("%d services are retained", retained)
		}
		for known, before := range last {
			now := s.InScope(scopeOf(known)).RoutingRevision
			if now < before || now > s.Revision() {
				t.Fatalf("routes of %s changed at %d, earlier at %d", known, now, before)
			}
			last[known] = now
		}
	}
	if s.InScope(scopeOf("s99")).RoutingRevision != s.Revision() || s.InScope(Scope{All: true}).RoutingRevision != s.Revision() {
		t.Error("the newest revision is not exact")
	}
	again := NewStore()
	if err := again.Restore(s.Snapshot()); err != nil || !slices.Equal(again.Snapshot(), s.Snapshot()) {
		t.Errorf("a restored store gives another snapshot, %v", err)
	}
}
