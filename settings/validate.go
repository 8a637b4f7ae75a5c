package settings

import (
	"fmt"
	"math"
	"strings"
)

const (
	// MaxProxies is the maximum number of proxies; all proxy numbers are below it.
	MaxProxies = 65535

	maxRoutes = 16 // a command that sets an admission level identifies its routes by 16 bits

	// minBindEntries is the number of entries, without the admission levels, that bind a proxy to a table with one
	// entry: the binding, the entry and the nonce.
	minBindEntries = 3
)

// validate returns a *ValueError for the first value that no controller can work with.
func (raw *rawSettings) validate() error {
	for _, check := range []func() error{
		raw.validateNames,
		raw.validateRoutes,
		raw.validateRanges,
		raw.validateCombinations,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// nameList is a list of names with its key and the constraints on the names.
type nameList struct {
	key            string
	names          []string
	forbidden      string // characters that no command or watch event can carry
	usedInCommands bool   // commands carry the names, so none may be empty, "*" or a duplicate
}

func (raw *rawSettings) validateNames() error {
	for _, list := range []nameList{
		{key: "zones", names: raw.Zones, forbidden: "\r\n"},
		{key: "categories", names: raw.routeNames(), forbidden: ",;+\r\n", usedInCommands: true},
		{key: "machine-types", names: raw.MachineTypes},
	} {
		if err := list.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (l *nameList) validate() error {
	if len(l.names) == 0 {
		return &ValueError{Key: l.key, Value: 0, Reason: "must not be empty"}
	}
	seen := map[string]bool{}
	for k, name := range l.names {
		key := fmt.Sprintf("%s[%d]", l.key, k)
		if l.usedInCommands && seen[name] {
			return &ValueError{Key: key, Value: name, Reason: fmt.Sprintf("duplicate name %q", name)}
		}
		reserved := l.usedInCommands && (name == "" || name == "*")
		if reserved || strings.ContainsAny(name, l.forbidden) {
			return &ValueError{Key: key, Value: name, Reason: fmt.Sprintf(
				`commands and watch events cannot carry the name %q: it is empty, "*" or contains one of %q`, name, l.forbidden)}
		}
		seen[name] = true
	}
	return nil
}

func (raw *rawSettings) validateRoutes() error {
	if routes := len(raw.Routes); routes > maxRoutes {
		return &ValueError{Key: "categories", Value: routes, Reason: fmt.Sprintf("must have at most %d elements, got %d", maxRoutes, routes)}
	}
	for k, route := range raw.Routes {
		for _, field := range []struct {
			key   string
			value float64
		}{
			{"promise-ns", route.LatencyObjective},
			{"gain", route.PriorityWeight},
		} {
			if field.value < 0 {
				key := fmt.Sprintf("categories[%d].%s", k, field.key)
				return &ValueError{Key: key, Value: field.value, Reason: fmt.Sprintf("must be at least 0, got %g", field.value)}
			}
		}
	}
	return nil
}

func (raw *rawSettings) validateRanges() error {
	unlimited := math.Inf(1)
	for _, field := range []struct {
		key      string
		value    float64
		min, max float64
	}{
		{"extra.proxy-count", raw.Extra.Proxies, 0, MaxProxies},
		{"extra.backlog", raw.Extra.MaxInFlightEntries, 1, unlimited},
		{"extra.push-rate", raw.Extra.EntriesPerSecond, math.SmallestNonzeroFloat64, unlimited},
		{"extra.head", raw.Extra.MessageOverhead, 0, unlimited},
		{"extra.reloads-max", raw.Extra.MaxMessages, 0, math.MaxInt32},
		{"extra.counted-over-ns", raw.Extra.MessageWindow, 0, unlimited},
		{"extra.interval-ns", raw.Extra.ReportInterval, 0, unlimited},
		{"rules.ramp-time-ns", raw.Rules.SlowStartWindow, 0, unlimited},
		{"rules.ask-within-ns", raw.Rules.SubscribeTimeout, 0, unlimited},
		{"rules.drain-grace-ns", raw.Rules.DrainGrace, 0, unlimited},
		{"tick-ns", raw.EventInterval, 0, unlimited},
		{"peers-total", raw.Controllers, 0, math.MaxInt32},
	} {
		if field.value < field.min || field.value > field.max {
			reason := fmt.Sprintf("must be between %g and %g, got %g", field.min, field.max, field.value)
			return &ValueError{Key: field.key, Value: field.value, Reason: reason}
		}
	}
	return nil
}

// validateCombinations checks values that are within their ranges but may be invalid in combination with others.
func (raw *rawSettings) validateCombinations() error {
	extra := &raw.Extra
	bindEntries := extra.MessageOverhead + minBindEntries + float64(len(raw.Routes))
	for _, rule := range []struct {
		violated bool
		key      string
		value    float64
		reason   string
	}{
		{
			extra.Proxies != math.Trunc(extra.Proxies),
			"extra.proxy-count", extra.Proxies,
			fmt.Sprintf("must be a whole number, got %g", extra.Proxies),
		},
		{
			extra.MaxInFlightEntries < 2*bindEntries,
			"extra.backlog", extra.MaxInFlightEntries,
			fmt.Sprintf("must be at least %g, twice the entries that bind a proxy with extra.head %g, got %g",
				2*bindEntries, extra.MessageOverhead, extra.MaxInFlightEntries),
		},
		{
			extra.MaxMessages > 0 && extra.MaxMessages < 2,
			"extra.reloads-max", extra.MaxMessages,
			fmt.Sprintf("must be 0 or at least 2, got %g: a bind takes one message and leaves none to remove a draining endpoint",
				extra.MaxMessages),
		},
		{
			extra.MaxMessages > 0 && extra.MessageWindow == 0,
			"extra.counted-over-ns", extra.MessageWindow,
			"must be greater than 0 if extra.reloads-max is set, got 0",
		},
	} {
		if rule.violated {
			return &ValueError{Key: rule.key, Value: rule.value, Reason: rule.reason}
		}
	}
	return nil
}
