package records

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestSpecsRoundTrip(t *testing.T) {
	route, err := New(Key{KindRoute, "a"}, RouteSpec{Service: "s", Prefix: "/a", TimeLimitMS: 5, Mutating: true, MaxAdmitted: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	if spec, err := route.Route(); err != nil || spec != (RouteSpec{"s", "/a", 5, true, 0.5}) {
		t.Errorf("route: got %+v, %v, want %+v", spec, err, RouteSpec{"s", "/a", 5, true, 0.5})
	}
	tenant, _ := New(Key{KindTenant, "a"}, TenantSpec{Service: "s", Share: 0.25})
	if spec, err := tenant.Tenant(); err != nil || spec != (TenantSpec{"s", 0.25}) {
		t.Errorf("tenant: got %+v, %v, want %+v", spec, err, TenantSpec{"s", 0.25})
	}
	override, _ := New(Key{KindOverride, "a"}, OverrideSpec{Zone: "z", State: StateGone})
	if spec, err := override.Override(); err != nil || spec != (OverrideSpec{"", "z", StateGone}) {
		t.Errorf("override: got %+v, %v, want %+v", spec, err, OverrideSpec{"", "z", StateGone})
	}
	service, _ := New(Key{KindService, "a"}, ServiceSpec{Zones: []string{"b", "a", "b"}})
	if spec, err := service.ServiceSpec(); err != nil || !slices.Equal(spec.Zones, []string{"a", "b"}) {
		t.Errorf("zones of the service: got %q, %v, want [\"a\" \"b\"]", spec.Zones, err)
	}
}

// TestInvalidSpecsAreRejected verifies for each cause that an invalid spec is rejected with a SpecError and an exact
// message.
func TestInvalidSpecsAreRejected(t *testing.T) {
	longName := strings.Repeat("x", maxNameBytes+1)
	cases := map[string]struct {
		key  Key
		spec any
		want string
	}{
		"prefix":      {Key{KindRoute, "a"}, RouteSpec{Prefix: "a", TimeLimitMS: 1}, "route/a: its prefix has to begin with a slash and be at most 200 bytes long"},
		"time limit":  {Key{KindRoute, "a"}, RouteSpec{Prefix: "/a"}, "route/a: its time limit has to be between 1 and 600000 ms"},
		"admitted":    {Key{KindRoute, "a"}, RouteSpec{Prefix: "/a", TimeLimitMS: 1, MaxAdmitted: 2}, "route/a: the part that it admits has to be between 0 and 1"},
		"share":       {Key{KindTenant, "a"}, TenantSpec{Service: "s", Share: -1}, "tenant/a: its share has to be over 0 and at most 1"},
		"state":       {Key{KindOverride, "a"}, OverrideSpec{State: "up"}, `override/a: its state has to be "draining" or "gone"`},
		"zone":        {Key{KindOverride, "a"}, OverrideSpec{State: StateGone, Zone: longName}, "override/a: a zone has to be 1 to 200 bytes on one line"},
		"no service":  {Key{KindTenant, "a"}, TenantSpec{Share: 1}, "tenant/a: a service has to be 1 to 200 bytes on one line"},
		"other field": {Key{KindService, "a"}, TenantSpec{Service: "s"}, `service/a: json: unknown field "service"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := New(c.key, c.spec)
			var specError *SpecError
			if !errors.As(err, &specError) || specError.Key != c.key {
				t.Fatalf("got error %v, want a SpecError of %s", err, c.key)
			}
			if err.Error() != c.want {
				t.Errorf("got error %q, want %q", err, c.want)
			}
		})
	}
}

func TestKeysRoundTrip(t *testing.T) {
	for _, kind := range kindsInOrder {
		key := Key{Kind: kind, Name: "a/b"}
		if parsed, err := ParseKey(key.String()); err != nil || parsed != key {
			t.Errorf("got %v, %v, want %s", parsed, err, key)
		}
	}
	_, err := ParseKey("route")
	var keyError *KeyError
	if !errors.As(err, &keyError) || keyError.Text != "route" {
		t.Errorf("key without a slash: got error %v, want a KeyError of %q", err, "route")
	}
	_, err = ParseKey("rout/a")
	var kindError *KindError
	if !errors.As(err, &kindError) || kindError.Name != "rout" {
		t.Errorf("key of an unknown kind: got error %v, want a KindError of %q", err, "rout")
	}
	_, err = ParseKey("route/")
	var nameError *NameError
	if !errors.As(err, &nameError) || nameError.Field != "name" {
		t.Errorf("key without a name: got error %v, want a NameError of %q", err, "name")
	}
}
