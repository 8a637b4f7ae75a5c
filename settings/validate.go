package settings

import (
	"fmt"
	"math"
	"strings"
)

const (
	// MaxProxies is above all numbers of proxies.
	MaxProxies = 65535

	maxRoutes = 16 // a command that sets an admission level names its routes by 16 bits

	// minBindEntries is what binds a proxy to a table of one entry, beside the admission levels: the binding, the
	// entry, the nonce.
	minBindEntries = 3
)

// validate gives a *ValueError for the first value by which no controller can work.
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

// nameList is a list of names under a key.
type nameList struct {
	key            string
	names          []string
	forbidden      string // characters that no command or watch event can carry
	usedInCommands bool   // commands carry the names: none may be empty, "*" or there twice
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
		return &ValueError{Key: l.key, Value: 0, Reason: "none is named"}
	}
	seen := map[string]bool{}
	for k, name := range l.names {
		key := fmt.Sprintf("%s[%d]", l.key, k)
		if l.usedInCommands && seen[name] {
			return &ValueError{Key: key, Value: name, Reason: fmt.Sprintf("the name %q is there twice", name)}
		}
		reserved := l.usedInCommands && (name == "" || name == "*")
		if reserved || strings.ContainsAny(name, l.forbidden) {
			return &ValueError{Key: key, Value: name, Reason: fmt.Sprintf("no order or news can carry the name %q", name)}
		}
		seen[name] = true
	}
	return nil
}

func (raw *rawSettings) validateRoutes() error {
	if routes := len(raw.Routes); routes > maxRoutes {
		return &ValueError{Key: "categories", Value: routes, Reason: fmt.Sprintf("%d of them, over %d", routes, maxRoutes)}
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
				return &ValueError{Key: key, Value: field.value, Reason: fmt.Sprintf("below 0: %g", field.value)}
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
		{"tick-ns", raw.EventInterval, 0, unlimited},
		{"peers-total", raw.Controllers, 0, math.MaxInt32},
	} {
		if field.value < field.min || field.value > field.max {
			reason := fmt.Sprintf("%g is out of its range", field.value)
			return &ValueError{Key: field.key, Value: field.value, Reason: reason}
		}
	}
	return nil
}

// validateCombinations checks values that are in their ranges, but not together with others.
func (raw *rawSettings) validateCombinations() error {
	extra := &raw.Extra
	bindEntries := extra.MessageOverhead + minBindEntries + float64(len(raw.Routes))
	for _, rule := range []struct {
		broken bool
		key    string
		value  float64
		reason string
	}{
		{
			extra.Proxies != math.Trunc(extra.Proxies),
			"extra.proxy-count", extra.Proxies,
			fmt.Sprintf("%g is no whole number", extra.Proxies),
		},
		{
			extra.MaxInFlightEntries < 2*bindEntries,
			"extra.backlog", extra.MaxInFlightEntries,
			fmt.Sprintf("%g do not hold twice what binds a proxy, with %g lines of extra.head",
				extra.MaxInFlightEntries, extra.MessageOverhead),
		},
		{
			extra.MaxMessages > 0 && extra.MaxMessages < 2,
			"extra.reloads-max", extra.MaxMessages,
			"the message that binds a proxy leaves none for a drain",
		},
		{
			extra.MaxMessages > 0 && extra.MessageWindow == 0,
			"extra.counted-over-ns", extra.MessageWindow,
			"none is told for extra.reloads-max",
		},
	} {
		if rule.broken {
			return &ValueError{Key: rule.key, Value: rule.value, Reason: rule.reason}
		}
	}
	return nil
}
