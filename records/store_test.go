package records

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
)

func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

func write(kind Kind, name string, spec any) Write {
	return Write{Key: Key{kind, name}, Body: mustMarshal(spec), AnyRevision: true}
}

func removal(kind Kind, name string) Write { return Write{Key: Key{kind, name}, AnyRevision: true} }

// apply applies writes at the next revision and fails the test if they are refused.
func apply(t testing.TB, s *Store, writes ...Write) Change {
	t.Helper()
	change, err := s.Apply(s.Revision()+1, Transaction{Writes: writes})
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestRulesOverSeveralRecords(t *testing.T) {
	begin := []Write{
		write(KindService, "pay", ServiceSpec{}), write(KindService, "ship", ServiceSpec{}),
		write(KindRoute, "quote", RouteSpec{Service: "pay", Prefix: "/quote", TimeLimitMS: 10}),
		write(KindTenant, "one", TenantSpec{Service: "pay", Share: 0.75}),
	}
	for name, c := range map[string]struct {
		writes []Write
		want   string // part of the refusal; empty: taken
	}{
		"service unknown":        {[]Write{write(KindRoute, "a", RouteSpec{Service: "none", Prefix: "/a", TimeLimitMS: 1})}, `service "none" does not exist`},
		"service with it":        {[]Write{write(KindTenant, "a", TenantSpec{Service: "new", Share: 1}), write(KindService, "new", ServiceSpec{})}, ""},
		"service referred to":    {[]Write{removal(KindService, "pay")}, "2 records refer to this service"},
		"service left behind":    {[]Write{removal(KindService, "pay"), removal(KindTenant, "one"), write(KindRoute, "quote", RouteSpec{Service: "ship", Prefix: "/quote", TimeLimitMS: 10})}, ""},
		"prefix twice":           {[]Write{write(KindRoute, "a", RouteSpec{Prefix: "/quote", TimeLimitMS: 1})}, `route/quote has the same prefix "/quote"`},
		"prefix handed over":     {[]Write{write(KindRoute, "a", RouteSpec{Prefix: "/quote", TimeLimitMS: 1}), removal(KindRoute, "quote")}, ""},
		"shares over one":        {[]Write{write(KindTenant, "two", TenantSpec{Service: "pay", Share: 0.26})}, `shares of service "pay" sum to 1.01`},
		"shares of one":          {[]Write{write(KindTenant, "two", TenantSpec{Service: "pay", Share: 0.25})}, ""},
		"share moved":            {[]Write{write(KindTenant, "one", TenantSpec{Service: "ship", Share: 1})}, ""},
		"last route":             {[]Write{removal(KindRoute, "quote")}, "no route would be left"},
		"override of no service": {[]Write{write(KindOverride, "n", OverrideSpec{Zone: "z", State: StateGone})}, ""},
		"written twice":          {[]Write{removal(KindTenant, "one"), removal(KindTenant, "one")}, "written twice"},
		"no share":               {[]Write{write(KindTenant, "a", TenantSpec{Service: "pay"})}, "over 0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore()
			apply(t, s, begin...)
			before := s.Snapshot()
			_, err := s.Apply(9, Transaction{Writes: c.writes})
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Fatalf("%v, want %q", err, c.want)
			}
			if err != nil && !slices.Equal(before, s.Snapshot()) {
				t.Error("a refused transaction changed the store")
			}
		})
	}
}

func TestConflictsNameEveryKey(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindRoute, "a", RouteSpec{Prefix: "/a", TimeLimitMS: 1}))
	apply(t, s, write(KindRoute, "a", RouteSpec{Prefix: "/a", TimeLimitMS: 2}))
	_, err := s.Apply(9, Transaction{Writes: []Write{
		{Key: Key{KindRoute, "a"}, ExpectedRevision: 1}, {Key: Key{KindService, "pay"}}, {Key: Key{KindTenant, "x"}, ExpectedRevision: 7}, {Key: Key{KindService, "new"}, Body: []byte("{}")},
	}})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatal(err)
	}
	want := []Conflict{{Key{KindRoute, "a"}, 1, 2}, {Key{KindService, "pay"}, 0, 1}, {Key{KindTenant, "x"}, 7, 0}}
	if !slices.Equal(conflict.Conflicts, want) {
		t.Errorf("%v", conflict.Conflicts)
	}
	if got := err.Error(); got != "changed since it was read: route/a has revision 2, 1 was expected; service/pay exists with revision 1; tenant/x does not exist, revision 7 was expected" {
		t.Error(got)
	}
}

func TestTransactionsAreBounded(t *testing.T) {
	many := Transaction{}
	for i := range MaxTransactionWrites + 1 {
		many.Writes = append(many.Writes, removal(KindTenant, fmt.Sprint(i)))
	}
	large := Transaction{Writes: []Write{{Key: Key{KindService, "a"}, Body: make([]byte, MaxTransactionBytes)}}}
	for want, transaction := range map[string]Transaction{
		"at most 256 records, not 257":     many,
		"at most 262144 bytes, not 262145": large,
		"at least one":                     {},
		"not known":                        {Writes: []Write{{Key: Key{9, "a"}, Body: []byte("{}")}}},
	} {
		if err := transaction.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	many.Writes = many.Writes[1:]
	if err := many.Validate(); err != nil {
		t.Error(err)
	}
}

func TestFullStoreRejectsMoreBytes(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "a", ServiceSpec{}))
	s.maxBytes, _ = s.Size()
	var full *FullError
	if _, err := s.Apply(9, Transaction{Writes: []Write{write(KindService, "b", ServiceSpec{})}}); !errors.As(err, &full) {
		t.Errorf("%v", err)
	}
	apply(t, s, removal(KindService, "a"), write(KindService, "b", ServiceSpec{}))
}

// TestMovedTenantLeavesOneScopeAndEntersTheOther moves a tenant from one service to another: it leaves one scope and enters the other.
func TestMovedTenantLeavesOneScopeAndEntersTheOther(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindService, "ship", ServiceSpec{}), write(KindTenant, "x", TenantSpec{Service: "pay", Share: 1}))
	held := s.Revision()
	apply(t, s, write(KindTenant, "x", TenantSpec{Service: "ship", Share: 0.5}))
	pay, ship, other := Scope{Services: []string{"pay"}}, Scope{Services: []string{"ship"}}, Scope{Services: []string{"z"}}
	left := s.Since(held, pay).Updates
	entered := s.Since(held, ship).Updates
	if len(left) != 1 || !pay.Contains(left[0].Before) || pay.Contains(left[0].After) {
		t.Errorf("left: %q", describeUpdates(left))
	}
	if len(entered) != 1 || ship.Contains(entered[0].Before) || !ship.Contains(entered[0].After) {
		t.Errorf("entered: %q", describeUpdates(entered))
	}
	if none := s.Since(held, other); len(none.Updates) > 0 || none.Revision != 2 || !none.Available {
		t.Errorf("others: %q, %d, %v", describeUpdates(none.Updates), none.Revision, none.Available)
	}
}

func TestRevisionsOnlyRise(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "a", ServiceSpec{}))
	if _, err := s.Apply(1, Transaction{Writes: []Write{write(KindService, "b", ServiceSpec{})}}); err == nil {
		t.Error("the same revision twice")
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

func TestDamagedSnapshotsAreRejected(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "pay", ServiceSpec{}), write(KindRoute, "a", RouteSpec{Service: "pay", Prefix: "/a", TimeLimitMS: 1}))
	apply(t, s, write(KindRoute, "a", RouteSpec{Service: "pay", Prefix: "/b", TimeLimitMS: 1}))
	good := s.Snapshot()
	for end := range good {
		if err := s.Restore(good[:end]); err == nil {
			t.Errorf("cut at byte %d of %d it was taken", end, len(good))
		}
	}
	for name, damaged := range map[string][]byte{
		"format": append([]byte{snapshotFormat + 1}, good[1:]...), "goes on": append(slices.Clone(good), 0),
		"service missing": []byte(strings.ReplaceAll(string(good), `"service":"pay"`, `"service":"pax"`)),
		"not canonical":   []byte(strings.Replace(string(good), `{"service":"pay","prefix":"/b"`, `{"prefix":"/b","service":"pay"`, 1)),
		"record":          []byte(strings.Replace(string(good), `"/b"`, `"/c"`, 1)), // the history speaks of another
	} {
		if err := s.Restore(damaged); err == nil {
			t.Errorf("%s: it was taken", name)
		}
	}
	if !slices.Equal(good, s.Snapshot()) {
		t.Error("a refused snapshot changed the store")
	}
}

// TestReadersSeeOneRevision reads while changes are applied; the race detector looks at it. Each reading is of one
// revision: the two records that are always written together agree.
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

func TestSpecsAreReadBack(t *testing.T) {
	route, err := New(Key{KindRoute, "a"}, RouteSpec{Service: "s", Prefix: "/a", TimeLimitMS: 5, Mutating: true, MaxAdmitted: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	if spec, err := route.Route(); err != nil || spec != (RouteSpec{"s", "/a", 5, true, 0.5}) {
		t.Errorf("%+v, %v", spec, err)
	}
	tenant, _ := New(Key{KindTenant, "a"}, TenantSpec{Service: "s", Share: 0.25})
	if spec, err := tenant.Tenant(); err != nil || spec != (TenantSpec{"s", 0.25}) {
		t.Errorf("%+v, %v", spec, err)
	}
	override, _ := New(Key{KindOverride, "a"}, OverrideSpec{Zone: "z", State: StateGone})
	if spec, err := override.Override(); err != nil || spec != (OverrideSpec{"", "z", StateGone}) {
		t.Errorf("%+v, %v", spec, err)
	}
	service, _ := New(Key{KindService, "a"}, ServiceSpec{Zones: []string{"b", "a", "b"}})
	if spec, err := service.ServiceSpec(); err != nil || !slices.Equal(spec.Zones, []string{"a", "b"}) {
		t.Errorf("%+v, %v", spec, err)
	}
}
