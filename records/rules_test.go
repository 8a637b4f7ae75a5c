package records

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestRulesOverSeveralRecords(t *testing.T) {
	initial := []Write{
		write(KindService, "pay", ServiceSpec{}),
		write(KindService, "ship", ServiceSpec{}),
		write(KindRoute, "quote", RouteSpec{Service: "pay", Prefix: "/quote", TimeLimitMS: 10}),
		write(KindTenant, "one", TenantSpec{Service: "pay", Share: 0.75}),
	}
	for name, c := range map[string]struct {
		writes []Write
		want   string // substring of the error; empty: accepted
	}{
		"service unknown":                 {[]Write{write(KindRoute, "a", RouteSpec{Service: "none", Prefix: "/a", TimeLimitMS: 1})}, `service "none" does not exist`},
		"service in the same transaction": {[]Write{write(KindTenant, "a", TenantSpec{Service: "new", Share: 1}), write(KindService, "new", ServiceSpec{})}, ""},
		"service referred to":             {[]Write{removal(KindService, "pay")}, "2 records refer to this service"},
		"service without references":      {[]Write{removal(KindService, "pay"), removal(KindTenant, "one"), write(KindRoute, "quote", RouteSpec{Service: "ship", Prefix: "/quote", TimeLimitMS: 10})}, ""},
		"duplicate prefix":                {[]Write{write(KindRoute, "a", RouteSpec{Prefix: "/quote", TimeLimitMS: 1})}, `route/quote has the same prefix "/quote"`},
		"prefix moved":                    {[]Write{write(KindRoute, "a", RouteSpec{Prefix: "/quote", TimeLimitMS: 1}), removal(KindRoute, "quote")}, ""},
		"shares above one":                {[]Write{write(KindTenant, "two", TenantSpec{Service: "pay", Share: 0.26})}, `shares of service "pay" sum to 1.01`},
		"shares of one":                   {[]Write{write(KindTenant, "two", TenantSpec{Service: "pay", Share: 0.25})}, ""},
		"share moved":                     {[]Write{write(KindTenant, "one", TenantSpec{Service: "ship", Share: 1})}, ""},
		"last route":                      {[]Write{removal(KindRoute, "quote")}, "no route would be left"},
		"override of no service":          {[]Write{write(KindOverride, "n", OverrideSpec{Zone: "z", State: StateGone})}, ""},
		"written twice":                   {[]Write{removal(KindTenant, "one"), removal(KindTenant, "one")}, "written twice"},
		"no share":                        {[]Write{write(KindTenant, "a", TenantSpec{Service: "pay"})}, "over 0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewStore()
			apply(t, s, initial...)
			before := s.Snapshot()
			_, err := s.Apply(9, Transaction{Writes: c.writes})
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Fatalf("got error %v, want %q", err, c.want)
			}
			if err != nil && !slices.Equal(before, s.Snapshot()) {
				t.Error("a rejected transaction changed the store")
			}
		})
	}
}

func TestFullStoreRejectsMoreBytes(t *testing.T) {
	s := NewStore()
	apply(t, s, write(KindService, "a", ServiceSpec{}))
	s.maxBytes, _ = s.Size()
	var full *FullError
	if _, err := s.Apply(9, Transaction{Writes: []Write{write(KindService, "b", ServiceSpec{})}}); !errors.As(err, &full) {
		t.Errorf("got error %v, want a FullError", err)
	}
	apply(t, s, removal(KindService, "a"), write(KindService, "b", ServiceSpec{}))
}
