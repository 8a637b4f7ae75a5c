// Package site decodes the settings that a conductor is handed at its start.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"harehook.dev/harehook/planner"
)

// NanosecondsPerSecond turns the module's seconds into the settings' nanoseconds.
const NanosecondsPerSecond = 1e9

// Deployment is what the settings tell: the figures that the module reads, and the names behind its small
// numbers, each at its place.
type Deployment struct {
	Planner       planner.Config
	Zones         []string
	MachineTypes  []string // machine types
	Routes        []string
	ReportValues  []string // values of a load report
	EventInterval float64  // s; least time between two turns
}

// Decode reads the settings' JSON; keys that it does not know are passed over. Settings by which no conductor can work are
// refused with the key at fault. A limit that is not told is none.
func Decode(conf []byte) (Deployment, error) {
	w := rawSettings{}
	w.Extra.Backlog, w.Extra.PushRate = math.Inf(1), math.Inf(1)
	if err := json.Unmarshal(conf, &w); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	if err := w.validate(); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{
		Zones:         w.Zones,
		MachineTypes:  w.MachineTypes,
		ReportValues:  w.Report.Names,
		EventInterval: Seconds(w.Tick),
		Planner: planner.Config{
			Zones:              len(w.Zones),
			MachineTypes:       len(w.MachineTypes),
			Controllers:        max(1, int(w.Peers)),
			Proxies:            int(w.Extra.ProxyCount),
			LocalZoneProxies:   w.Extra.LocalFirst,
			Sharded:            w.Extra.Shards > 0,
			MustSubscribe:      w.Discovery == "subscribe",
			SubscribeTimeout:   Seconds(w.Rules.AskWithin),
			UtilizationIndex:   -1,
			QueueLengthIndex:   -1,
			EntriesPerSecond:   w.Extra.PushRate,
			MaxInFlightEntries: w.Extra.Backlog,
			MessageOverhead:    w.Extra.Head,
			MaxMessages:        int(w.Extra.ReloadsMax),
			MessageWindow:      Seconds(w.Extra.CountedOver),
			ReportInterval:     Seconds(w.Extra.Interval),
			SlowStartWindow:    Seconds(w.Rules.RampTime),
			OverloadMultiple:   w.Rules.FallMultiple,
		},
	}
	switch w.Extra.LevelKind {
	case "fraction":
		d.Planner.Admission = planner.AdmissionFraction
	case "per_second":
		d.Planner.Admission = planner.AdmissionRate
	}
	if w.Report.Source == "inline" {
		for k, name := range w.Report.Names {
			switch name {
			case "utilization":
				d.Planner.UtilizationIndex = k
			case "backlog":
				d.Planner.QueueLengthIndex = k
			}
		}
	}
	for k, cat := range w.Categories {
		d.Routes = append(d.Routes, cat.Name)
		d.Planner.Routes = append(d.Planner.Routes, planner.Route{
			LatencyObjective: Seconds(cat.Promise),
			PriorityWeight:   cat.Gain,
			LocalZoneOnly:    k < len(w.Extra.HomeOnly) && w.Extra.HomeOnly[k],
		})
	}
	return d, nil
}

// rawSettings is what is read of the settings as they are written; whole numbers may be written with a fraction of 0.
type rawSettings struct {
	Categories []struct {
		Name    string  `json:"name"`
		Promise float64 `json:"promise-ns"`
		Gain    float64 `json:"gain"`
	} `json:"categories"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Backlog     float64 `json:"backlog"`
		CountedOver float64 `json:"counted-over-ns"`
		Head        float64 `json:"head"`
		HomeOnly    []bool  `json:"home-only"`
		Interval    float64 `json:"interval-ns"`
		LevelKind   string  `json:"level-kind"`
		LocalFirst  bool    `json:"local-first"`
		ProxyCount  float64 `json:"proxy-count"`
		PushRate    float64 `json:"push-rate"`
		ReloadsMax  float64 `json:"reloads-max"`
		Shards      float64 `json:"shards"`
	} `json:"extra"`
	MachineTypes []string `json:"machine-types"`
	Peers        float64  `json:"peers-total"`
	Report       struct {
		Names  []string `json:"names"`
		Source string   `json:"source"`
	} `json:"report"`
	Rules struct {
		AskWithin    float64 `json:"ask-within-ns"`
		FallMultiple float64 `json:"fall-multiple"`
		RampTime     float64 `json:"ramp-time-ns"`
	} `json:"rules"`
	Tick  float64  `json:"tick-ns"`
	Zones []string `json:"zones"`
}

const (
	maxRoutes = 16 // a level's order names its routes by 16 bits

	minBindEntries = 3 // lines that bind a proxy to a table of one line, beside the levels: the order, the line, the mark

	// MaxProxies is above all numbers of proxies.
	MaxProxies = 65535
)

// validate tells the first thing by which no conductor can work.
func (w *rawSettings) validate() error {
	extra, routes := &w.Extra, make([]string, len(w.Categories))
	for k, cat := range w.Categories {
		routes[k] = cat.Name
	}
	for _, list := range []struct {
		key, barred string
		sole        bool // orders tell them by their names alone
		names       []string
	}{
		{"zones", "\r\n", false, w.Zones},
		{"categories", ",;+\r\n", true, routes},
		{"machine-types", "", false, w.MachineTypes},
	} {
		if len(list.names) == 0 {
			return fmt.Errorf("%s: none is named", list.key)
		}
		seen := map[string]bool{}
		for k, name := range list.names {
			switch {
			case list.sole && seen[name]:
				return fmt.Errorf("%s[%d]: the name %q is there twice", list.key, k, name)
			case strings.ContainsAny(name, list.barred) || list.sole && (name == "" || name == "*"):
				return fmt.Errorf("%s[%d]: no order or news can carry the name %q", list.key, k, name)
			}
			seen[name] = true
		}
	}
	if len(routes) > maxRoutes {
		return fmt.Errorf("categories: %d of them, over %d", len(routes), maxRoutes)
	}
	for k, cat := range w.Categories {
		switch {
		case cat.Promise < 0:
			return fmt.Errorf("categories[%d].promise-ns: below 0: %g", k, cat.Promise)
		case cat.Gain < 0:
			return fmt.Errorf("categories[%d].gain: below 0: %g", k, cat.Gain)
		}
	}
	for _, figure := range []struct {
		key         string
		value       float64
		least, most float64
	}{
		{"extra.proxy-count", extra.ProxyCount, 0, MaxProxies},
		{"extra.backlog", extra.Backlog, 1, math.Inf(1)},
		{"extra.push-rate", extra.PushRate, math.SmallestNonzeroFloat64, math.Inf(1)},
		{"extra.head", extra.Head, 0, math.Inf(1)},
		{"extra.reloads-max", extra.ReloadsMax, 0, math.MaxInt32},
		{"extra.counted-over-ns", extra.CountedOver, 0, math.Inf(1)},
		{"extra.interval-ns", extra.Interval, 0, math.Inf(1)},
		{"rules.ramp-time-ns", w.Rules.RampTime, 0, math.Inf(1)},
		{"rules.ask-within-ns", w.Rules.AskWithin, 0, math.Inf(1)},
		{"tick-ns", w.Tick, 0, math.Inf(1)},
		{"peers-total", w.Peers, 0, math.MaxInt32},
	} {
		if figure.value < figure.least || figure.value > figure.most {
			return fmt.Errorf("%s: %g is out of its range", figure.key, figure.value)
		}
	}
	switch {
	case extra.ProxyCount != math.Trunc(extra.ProxyCount):
		return fmt.Errorf("extra.proxy-count: %g is no whole number", extra.ProxyCount)
	case extra.Backlog < 2*(extra.Head+minBindEntries+float64(len(routes))):
		return fmt.Errorf("extra.backlog: %g do not hold twice what binds a proxy, with %g lines of extra.head",
			extra.Backlog, extra.Head)
	case extra.ReloadsMax > 0 && extra.ReloadsMax < 2:
		return errors.New("extra.reloads-max: the message that binds a proxy leaves none for a drain")
	case extra.ReloadsMax > 0 && extra.CountedOver == 0:
		return errors.New("extra.counted-over-ns: none is told for extra.reloads-max")
	}
	return nil
}

// Seconds turns the settings' nanoseconds into the module's seconds.
func Seconds[N uint64 | float64](ns N) float64 { return float64(ns) / NanosecondsPerSecond }
