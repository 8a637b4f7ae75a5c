package settings

import (
	"errors"
	"strings"
	"testing"
)

// What a refusal says is read by operators: its text stays. Code tells the key from its type.
func TestRefusalsHaveTextAndKey(t *testing.T) {
	route := func(name string) map[string]any { return map[string]any{"name": name, "promise-ns": 1e9} }
	var seventeen []any
	for _, name := range strings.Split("abcdefghijklmnopq", "") {
		seventeen = append(seventeen, route(name))
	}
	cases := []struct {
		path  string // by slashes
		value any
		want  string
	}{
		{"zones", []any{}, "zones: none is named"},
		{"zones", []any{"a", "b\n"}, `zones[1]: no order or news can carry the name "b\n"`},
		{"machine-types", nil, "machine-types: none is named"},
		{"categories", nil, "categories: none is named"},
		{"categories", []any{route("a"), route("b"), route("a")}, `categories[2]: the name "a" is there twice`},
		{"categories", []any{route("")}, `categories[0]: no order or news can carry the name ""`},
		{"categories", []any{route("*")}, `categories[0]: no order or news can carry the name "*"`},
		{"categories", []any{route("a;b")}, `categories[0]: no order or news can carry the name "a;b"`},
		{"categories", seventeen, "categories: 17 of them, over 16"},
		{"categories/promise-ns", -1.5, "categories[0].promise-ns: below 0: -1.5"},
		{"categories/gain", -2, "categories[0].gain: below 0: -2"},
		{"extra/proxy-count", 65536, "extra.proxy-count: 65536 is out of its range"},
		{"extra/proxy-count", 2.5, "extra.proxy-count: 2.5 is no whole number"},
		{"extra/backlog", 0.5, "extra.backlog: 0.5 is out of its range"},
		{"extra/backlog", 17, "extra.backlog: 17 do not hold twice what binds a proxy, with 4 lines of extra.head"},
		{"extra/push-rate", 0, "extra.push-rate: 0 is out of its range"},
		{"extra/head", -1, "extra.head: -1 is out of its range"},
		{"extra/reloads-max", 1e10, "extra.reloads-max: 1e+10 is out of its range"},
		{"extra/reloads-max", 1, "extra.reloads-max: the message that binds a proxy leaves none for a drain"},
		{"extra/counted-over-ns", -1, "extra.counted-over-ns: -1 is out of its range"},
		{"extra/counted-over-ns", 0, "extra.counted-over-ns: none is told for extra.reloads-max"},
		{"extra/interval-ns", -1, "extra.interval-ns: -1 is out of its range"},
		{"rules/ramp-time-ns", -1, "rules.ramp-time-ns: -1 is out of its range"},
		{"rules/ask-within-ns", -1, "rules.ask-within-ns: -1 is out of its range"},
		{"tick-ns", -1, "tick-ns: -1 is out of its range"},
		{"peers-total", 1e18, "peers-total: 1e+18 is out of its range"},
	}
	for _, test := range cases {
		t.Run(test.want, func(t *testing.T) {
			_, err := Decode(settingsWith(t, strings.Split(test.path, "/"), test.value))
			if want := "settings: " + test.want; err == nil || err.Error() != want {
				t.Fatalf("error %v, want %s", err, want)
			}
			var valueError *ValueError
			if !errors.As(err, &valueError) {
				t.Fatalf("error of type %T", errors.Unwrap(err))
			}
			if key, _, _ := strings.Cut(test.want, ": "); valueError.Key != key || valueError.Value == nil {
				t.Errorf("key %s with value %v, want %s", valueError.Key, valueError.Value, key)
			}
		})
	}
}

func TestTextThatIsNoSettingsIsRefused(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "7", `{"zones":`} {
		_, err := Decode([]byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), "settings: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
}
