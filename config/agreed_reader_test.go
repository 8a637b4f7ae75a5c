package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
	"harehook.dev/harehook/xds"
)

const agreedExample = `agreed {
  service "pay" { zones "north" "south"; }
  service "ship"
  route "quote-vip" service="pay" { prefix "/quote/vip"; limit-ms 20; mutating; most 0.5; }
  route "quote" { prefix "/quote"; limit-ms 0.0015e3; }
  tenant "one \"quoted\"" service="pay" share=0.25
  override "n-1" state="draining" service="pay" zone="north"
  override "n-2" state="gone"
}
`

// Formatting the records of a text must return the same text, with numbers in canonical form.
func TestAgreedTextRoundTrip(t *testing.T) {
	a, err := ParseAgreed(agreedExample)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Replace(agreedExample, "0.0015e3", "1.5", 1)
	if got := (TextFormat{}).Format(a.Records); got != want {
		t.Errorf("got text\n%s\nwant\n%s", got, want)
	}
	if len(a.Routes) != 2 || a.Routes[0].Name != "quote-vip" || !a.Routes[0].Mutating || a.Routes[0].MaxAdmitted != 0.5 || a.Routes[1].TimeLimit.Microseconds() != 1500 {
		t.Errorf("got routes %+v, want quote-vip and quote as in\n%s", a.Routes, agreedExample)
	}
	if len(a.Overrides) != 2 || a.Overrides["n-1"] != planner.Draining || a.Overrides["n-2"] != planner.Removed {
		t.Errorf("got overrides %+v, want n-1 draining and n-2 removed", a.Overrides)
	}
	if got := (TextFormat{}).Format(nil); got != "" {
		t.Errorf("got text %q without records, want \"\"", got)
	}
}

// The text of random records must be parsed as the same records.
func TestFormatRandomRecordsRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var list []*records.Record
		add := func(kind records.Kind, name string, spec any) {
			record, err := records.New(records.Key{Kind: kind, Name: name}, spec)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, record)
		}
		for i := range 1 + random.IntN(20) {
			name := fmt.Sprintf("%c\\ é%d\t", 'a'+rune(random.IntN(26)), i)
			add(records.KindRoute, name, records.RouteSpec{Service: "s", Prefix: "/" + strings.Repeat("p", random.IntN(9)) + fmt.Sprint(i), TimeLimitMS: 1 + float64(random.IntN(1e6))/1e3, Mutating: random.IntN(2) == 0})
			add(records.KindService, name, records.ServiceSpec{Zones: []string{"z", name}})
			add(records.KindTenant, name, records.TenantSpec{Service: "s", Share: 1 / float64(1+random.IntN(100))})
			add(records.KindOverride, name, records.OverrideSpec{Zone: name, State: records.StateGone})
		}
		slices.SortFunc(list, compareKeys)
		text := TextFormat{}.Format(list)
		restored, err := TextFormat{}.Parse(text)
		if err != nil {
			t.Fatalf("seed %d: parse: %v\n%s", seed, err, text)
		}
		if !slices.EqualFunc(list, restored, (*records.Record).SameContent) {
			t.Fatalf("seed %d: the parsed records differ from the formatted ones, text:\n%s", seed, text)
		}
	}
}

// Faults of records in a text must state the line and the reason.
func TestAgreedTextFaults(t *testing.T) {
	route := ` route "a" { prefix "/a"; limit-ms 9; };`
	for text, want := range map[string]string{
		`agreed {` + route + ` service "s"; service "s"; }`:             `line 1: duplicate service "s"`,
		`agreed {` + route + ` tenant "t" share=0.5; }`:                 `line 1: tenant/t: a service has to be`,
		`agreed {` + route + ` tenant "t" service="s"; }`:               "its share has to be over 0",
		`agreed {` + route + ` tenant "t" service="s" share=2; }`:       `value in "tenant" must be a number from 0 to 1, got 2`,
		`agreed {` + route + ` override "n" state="gone" region="r"; }`: `"override" has no property "region"`,
		`agreed { route "a" region="r" { prefix "/a"; limit-ms 9; }; }`: `"route" has no property "region"`,
		`agreed {` + route + ` service "s" { zones 5; }; }`:             `value in "zones" must be a name`,
	} {
		if err := ValidateAgreed(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
}

// Writes must have the key, the body and the expected revision that the file states.
func TestParseRecordWrites(t *testing.T) {
	writes, err := ParseRecordWrites(`route "a" service="s" revision=12 { prefix "/a"; limit-ms 9; }
service "s" revision=0
remove "tenant/x" revision=7
remove "override/n"
`)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, write := range writes {
		got = append(got, fmt.Sprint(write.Key, " ", string(write.Body), " ", write.ExpectedRevision, " ", write.HasRevision))
	}
	want := []string{`route/a {"service":"s","prefix":"/a","time_limit_ms":9} 12 true`, `service/s {} 0 true`, `tenant/x  7 true`, `override/n  0 false`}
	if !slices.Equal(got, want) {
		t.Errorf("got writes %q, want %q", got, want)
	}
	for text, want := range map[string]string{
		``: "at least one record is required", `agreed { }`: `unknown key "agreed"`, `remove "x"`: "expected kind/name", `remove`: `number of arguments of "remove" must be 1, got 0`,
		"service \"s\"\nremove \"service/s\"": "line 2: duplicate record service/s", `service "s" revision=1.5`: "revision must be a whole number, got 1.5",
		"remove \"service/s\"\nservice \"s\"": `line 2: duplicate service "s"`,
	} {
		if _, err := ParseRecordWrites(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", text, err, want)
		}
	}
}

// A text with many more routes than allowed must have a single fault, at the first excess route.
func TestTooManyAgreedRoutesCauseSingleFault(t *testing.T) {
	var text strings.Builder
	text.WriteString("agreed {\n")
	for route := range xds.MaxRoutes + 10 {
		fmt.Fprintf(&text, "route \"r-%d\" { prefix \"/r-%d/\"; limit-ms 2; }\n", route, route)
	}
	text.WriteString("}\n")
	_, err := ParseAgreed(text.String())
	want := fmt.Sprintf("line %d: route \"r-%d\" exceeds the limit: a sidecar accepts at most %d routes", xds.MaxRoutes+2, xds.MaxRoutes, xds.MaxRoutes)
	if err == nil || err.Error() != want {
		t.Errorf("got error %v, want %q", err, want)
	}
}
