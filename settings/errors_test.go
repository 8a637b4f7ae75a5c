package settings

import (
	"errors"
	"strings"
	"testing"
)

// Operators read the text of these errors, so each text is checked in full. Code gets the key from the error's type.
func TestValueErrorsHaveTextAndKey(t *testing.T) {
	route := func(name string) map[string]any { return map[string]any{"name": name, "promise-ns": 1e9} }
	var seventeen []any
	for _, name := range strings.Split("abcdefghijklmnopq", "") {
		seventeen = append(seventeen, route(name))
	}
	cases := []struct {
		path  string // separated by slashes
		value any
		want  string
	}{
		{"zones", []any{}, "zones: must not be empty"},
		{"zones", []any{"a", "b\n"}, `zones[1]: commands and watch events cannot carry the name "b\n": it is empty, "*" or contains one of "\r\n"`},
		{"machine-types", nil, "machine-types: must not be empty"},
		{"categories", nil, "categories: must not be empty"},
		{"categories", []any{route("a"), route("b"), route("a")}, `categories[2]: duplicate name "a"`},
		{"categories", []any{route("")}, `categories[0]: commands and watch events cannot carry the name "": it is empty, "*" or contains one of ",;+\r\n"`},
		{"categories", []any{route("*")}, `categories[0]: commands and watch events cannot carry the name "*": it is empty, "*" or contains one of ",;+\r\n"`},
		{"categories", []any{route("a;b")}, `categories[0]: commands and watch events cannot carry the name "a;b": it is empty, "*" or contains one of ",;+\r\n"`},
		{"categories", seventeen, "categories: must have at most 16 elements, got 17"},
		{"categories/promise-ns", -1.5, "categories[0].promise-ns: must be at least 0, got -1.5"},
		{"categories/gain", -2, "categories[0].gain: must be at least 0, got -2"},
		{"extra/proxy-count", 65536, "extra.proxy-count: must be between 0 and 65535, got 65536"},
		{"extra/proxy-count", 2.5, "extra.proxy-count: must be a whole number, got 2.5"},
		{"extra/backlog", 0.5, "extra.backlog: must be between 1 and +Inf, got 0.5"},
		{"extra/backlog", 17, "extra.backlog: must be at least 18, twice the entries that bind a proxy with extra.head 4, got 17"},
		{"extra/push-rate", 0, "extra.push-rate: must be between 5e-324 and +Inf, got 0"},
		{"extra/head", -1, "extra.head: must be between 0 and +Inf, got -1"},
		{"extra/reloads-max", 1e10, "extra.reloads-max: must be between 0 and 2.147483647e+09, got 1e+10"},
		{"extra/reloads-max", 1, "extra.reloads-max: must be 0 or at least 2, got 1: a bind takes one message and leaves none to remove a draining endpoint"},
		{"extra/counted-over-ns", -1, "extra.counted-over-ns: must be between 0 and +Inf, got -1"},
		{"extra/counted-over-ns", 0, "extra.counted-over-ns: must be greater than 0 if extra.reloads-max is set, got 0"},
		{"extra/interval-ns", -1, "extra.interval-ns: must be between 0 and +Inf, got -1"},
		{"rules/ramp-time-ns", -1, "rules.ramp-time-ns: must be between 0 and +Inf, got -1"},
		{"rules/ask-within-ns", -1, "rules.ask-within-ns: must be between 0 and +Inf, got -1"},
		{"rules/drain-grace-ns", -1, "rules.drain-grace-ns: must be between 0 and +Inf, got -1"},
		{"tick-ns", -1, "tick-ns: must be between 0 and +Inf, got -1"},
		{"peers-total", 1e18, "peers-total: must be between 0 and 2.147483647e+09, got 1e+18"},
	}
	for _, test := range cases {
		t.Run(test.want, func(t *testing.T) {
			_, err := Decode(settingsWith(t, strings.Split(test.path, "/"), test.value))
			if want := "settings: " + test.want; err == nil || err.Error() != want {
				t.Fatalf("got error %v, want %s", err, want)
			}
			var valueError *ValueError
			if !errors.As(err, &valueError) {
				t.Fatalf("got error of type %T, want *ValueError", errors.Unwrap(err))
			}
			if key, _, _ := strings.Cut(test.want, ": "); valueError.Key != key || valueError.Value == nil {
				t.Errorf("got key %s with value %v, want key %s with a value", valueError.Key, valueError.Value, key)
			}
		})
	}
}

func TestMalformedSettingsAreRejected(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "7", `{"zones":`} {
		_, err := Decode([]byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), "settings: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("settings %q: got error %v, want one line that starts with \"settings: \"", text, err)
		}
	}
}
