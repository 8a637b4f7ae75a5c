// Package site decodes the settings that a conductor is handed at its start.
package site

import (
	"encoding/json"
	"errors"
	"fmt"

	"harehook.dev/harehook/brain"
)

// NSPerSecond turns the module's seconds into the settings' nanoseconds.
const NSPerSecond = 1e9

// Deployment is what the settings tell: the figures that the module reads, and the names behind its small
// numbers, each at its place.
type Deployment struct {
	Site    brain.Site
	Zones   []string
	Kinds   []string // machine types
	Routes  []string
	Reports []string // values of a load report
	Tick    float64  // s; least time between two turns
}

// Decode reads the settings' JSON; keys that it does not know are passed over.
func Decode(conf []byte) (Deployment, error) {
	var w struct {
		Categories []struct {
			Name    string  `json:"name"`
			Promise uint64  `json:"promise-ns"`
			Gain    float64 `json:"gain"`
		} `json:"categories"`
		Discovery string `json:"discovery"`
		Extra     struct {
			Backlog     float64 `json:"backlog"`
			CountedOver uint64  `json:"counted-over-ns"`
			Head        float64 `json:"head"`
			HomeOnly    []bool  `json:"home-only"`
			Interval    uint64  `json:"interval-ns"`
			LevelKind   string  `json:"level-kind"`
			LocalFirst  bool    `json:"local-first"`
			ProxyCount  int     `json:"proxy-count"`
			PushRate    float64 `json:"push-rate"`
			ReloadsMax  int     `json:"reloads-max"`
			Shards      int     `json:"shards"`
		} `json:"extra"`
		MachineTypes []string `json:"machine-types"`
		Peers        int      `json:"peers-total"`
		Report       struct {
			Names  []string `json:"names"`
			Source string   `json:"source"`
		} `json:"report"`
		Rules struct {
			AskWithin    uint64  `json:"ask-within-ns"`
			FallMultiple float64 `json:"fall-multiple"`
			RampTime     uint64  `json:"ramp-time-ns"`
		} `json:"rules"`
		Tick  uint64   `json:"tick-ns"`
		Zones []string `json:"zones"`
	}
	if err := json.Unmarshal(conf, &w); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	if len(w.Zones) == 0 || len(w.Categories) == 0 {
		return Deployment{}, errors.New("settings without zones or routes")
	}
	d := Deployment{
		Zones:   w.Zones,
		Kinds:   w.MachineTypes,
		Reports: w.Report.Names,
		Tick:    Seconds(w.Tick),
		Site: brain.Site{
			Zones:       len(w.Zones),
			Kinds:       len(w.MachineTypes),
			Conductors:  w.Peers,
			Proxies:     w.Extra.ProxyCount,
			OwnZone:     w.Extra.LocalFirst,
			Sliced:      w.Extra.Shards > 0,
			MustAsk:     w.Discovery == "subscribe",
			AskWithin:   Seconds(w.Rules.AskWithin),
			Utilization: -1,
			Backlog:     -1,
			Pace:        w.Extra.PushRate,
			Queue:       w.Extra.Backlog,
			Head:        w.Extra.Head,
			Messages:    w.Extra.ReloadsMax,
			MessageSpan: Seconds(w.Extra.CountedOver),
			Period:      Seconds(w.Extra.Interval),
			Ramp:        Seconds(w.Rules.RampTime),
			FallTimes:   w.Rules.FallMultiple,
		},
	}
	switch w.Extra.LevelKind {
	case "fraction":
		d.Site.Levels = brain.LevelFraction
	case "per_second":
		d.Site.Levels = brain.LevelRate
	}
	if w.Report.Source == "inline" {
		for k, name := range w.Report.Names {
			switch name {
			case "utilization":
				d.Site.Utilization = k
			case "backlog":
				d.Site.Backlog = k
			}
		}
	}
	for k, cat := range w.Categories {
		d.Routes = append(d.Routes, cat.Name)
		d.Site.Routes = append(d.Site.Routes, brain.Route{
			SLOTime:    Seconds(cat.Promise),
			Importance: cat.Gain,
			HomeOnly:   k < len(w.Extra.HomeOnly) && w.Extra.HomeOnly[k],
		})
	}
	return d, nil
}

// Seconds turns the settings' nanoseconds into the module's seconds.
func Seconds(ns uint64) float64 { return float64(ns) / NSPerSecond }
