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

// expectRouting compares the routing revisions of scopes, as returned by InScope and by Since, with the wanted ones.
// The key of a scope lists its services; "all" is the scope of all records.
func expectRouting(t *testing.T, s *Store, wants map[string]uint64) {
	t.Helper()
	for names, want := range wants {
		scope := scopeOf(strings.Fields(names)...)
		if names == "all" {
			scope = Scope{All: true}
		}
		if view, delta := s.InScope(scope), s.Since(s.Revision(), scope); view.RoutingRevision != want || delta.RoutingRevision != want {
			t.Errorf("routing revisions of %q in view and in delta: got %d and %d, want %d", names, view.RoutingRevision, delta.RoutingRevision, want)
		}
	}
}

// storeWithRemovedRoute returns a store with routes of three services. The newest route was removed, and another one
// moved from b to c.
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

// The routing revision of a scope is the revision of the last change of its routes, also if the newest route is removed
// or a route moves to another service. Otherwise the number would decrease, and sidecars would reject the routes.
func TestRoutingRevisionIsLastRouteChange(t *testing.T) {
	s := storeWithRemovedRoute(t)
	expectRouting(t, s, map[string]uint64{"": 2, "a": 4, "b": 6, "c": 6, "a b": 6, "none": 2, "all": 6})
	apply(t, s, removal(KindOverride, "n"), removal(KindTenant, "t"))
	apply(t, s, routeOf("b1", "c", 1)) // no change
	if _, err := s.Apply(9, Transaction{Writes: []Write{removal(KindRoute, "plain"), removal(KindService, "a")}}); err == nil {
		t.Error("removal of a service in use: got no error, want one")
	}
	expectRouting(t, s, map[string]uint64{"": 2, "a": 4, "c": 6, "all": 6})
	apply(t, s, removal(KindRoute, "b1"), removal(KindService, "c"))
	expectRouting(t, s, map[string]uint64{"a": 4, "b": 6, "c": 9, "all": 9}) // also for a removed service
}

// A snapshot preserves the routing revisions of removed routes.
func TestRoutingRevisionsAreInTheSnapshot(t *testing.T) {
	s, restored := storeWithRemovedRoute(t), NewStore()
	s.DropHistory()
	snapshot := s.Snapshot()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	expectRouting(t, restored, map[string]uint64{"": 2, "a": 4, "b": 6, "c": 6, "all": 6})
	if !slices.Equal(restored.Snapshot(), snapshot) {
		t.Error("the snapshot of the restored store differs from the original")
	}
}

// withoutRouting returns the snapshot of a store in the older format.
func withoutRouting(s *Store) []byte {
	snapshot := s.Snapshot()
	snapshot[0] = formatWithoutRouting
	return snapshot[:len(snapshot)-len(s.routing.appendTo(nil))]
}

// The routing revisions of an older snapshot are derived from its changes, and from the current routes where changes
// are no longer retained.
func TestRoutingRevisionsAreDerivedFromAnOlderSnapshot(t *testing.T) {
	s, restored := storeWithRemovedRoute(t), NewStore()
	if err := restored.Restore(withoutRouting(s)); err != nil {
		t.Fatal(err)
	}
	expectRouting(t, restored, map[string]uint64{"": 2, "a": 4, "b": 6, "c": 6, "all": 6})
	if !slices.Equal(restored.Snapshot(), s.Snapshot()) {
		t.Error("the snapshot of the store restored from the older format differs from the original")
	}
	s.DropHistory()
	if err := restored.Restore(withoutRouting(s)); err != nil {
		t.Fatal(err)
	}
	expectRouting(t, restored, map[string]uint64{"": 2, "a": 2, "b": 2, "c": 6, "all": 6})
}

// A snapshot whose routing revisions are inconsistent with its records is rejected.
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
		t.Fatal("the encoding of the test differs from that of Snapshot")
	}
	for name, data := range map[string][]byte{
		"greater than the revision":         encoded(0, "", 2, "a", 4, "b", 6, "c", 7),
		"default greater than the revision": encoded(7),
		"out of order":                      encoded(0, "", 2, "b", 6, "a", 4, "c", 6),
		"duplicate service":                 encoded(0, "", 2, "a", 4, "a", 5, "c", 6),
		"not greater than the default":      encoded(2, "", 2, "a", 4, "b", 6, "c", 6),
		"less than a route's":               encoded(0, "", 2, "a", 4, "b", 6, "c", 5),
		"a service missing":                 encoded(0, "", 2, "a", 4, "b", 6),
	} {
		if err := NewStore().Restore(data); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

// After a transaction with Restamp, as used for full texts, stores with different routing revisions have equal
// snapshots.
func TestRestampMakesRoutingRevisionsEqual(t *testing.T) {
	s := storeWithRemovedRoute(t)
	s.DropHistory()
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
		t.Error("the snapshots of the two stores differ")
	}
}

// The number of retained services is bounded, and the routing revision of a scope never decreases, also if more
// services than that have had routes.
func TestRoutingRevisionsAreBounded(t *testing.T) {
	s := NewStore()
	s.routing.maxServices = 10
	apply(t, s, routeOf("plain", "", 1))
	lastSeen := map[string]uint64{}
	for n := range 100 {
		service, name := fmt.Sprintf("s%02d", n), fmt.Sprintf("r%02d", n)
		apply(t, s, write(KindService, service, ServiceSpec{}), routeOf(name, service, 1))
		apply(t, s, removal(KindRoute, name), removal(KindService, service))
		lastSeen[service] = s.Revision()
		if retained := len(s.routing.byService); retained > 10 {
			t.Fatalf("got %d retained services, want at most 10", retained)
		}
		for known, before := range lastSeen {
			now := s.InScope(scopeOf(known)).RoutingRevision
			if now < before || now > s.Revision() {
				t.Fatalf("routing revision of %s: got %d, want %d to %d", known, now, before, s.Revision())
			}
			lastSeen[known] = now
		}
	}
	if s.InScope(scopeOf("s99")).RoutingRevision != s.Revision() || s.InScope(Scope{All: true}).RoutingRevision != s.Revision() {
		t.Errorf("newest routing revision: got %d in its service and %d in all, want %d", s.InScope(scopeOf("s99")).RoutingRevision, s.InScope(Scope{All: true}).RoutingRevision, s.Revision())
	}
	restored := NewStore()
	if err := restored.Restore(s.Snapshot()); err != nil || !slices.Equal(restored.Snapshot(), s.Snapshot()) {
		t.Errorf("the snapshot of the restored store differs from the original, or it was rejected: %v", err)
	}
}
