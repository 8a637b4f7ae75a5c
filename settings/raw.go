package settings

import (
	"math"

	"harehook.dev/harehook/planner"
)

// rawSettings holds the decoded keys of the settings document. The keys are defined by the platform; the field names
// are the project's terms. All numbers are float64, because whole numbers may be written with a fraction of 0.
type rawSettings struct {
	Routes []struct {
		Name             string  `json:"name"`
		LatencyObjective float64 `json:"promise-ns"`
		PriorityWeight   float64 `json:"gain"`
	} `json:"categories"`
	Discovery string `json:"discovery"`
	Extra     struct {
		MaxInFlightEntries float64 `json:"backlog"`
		MessageWindow      float64 `json:"counted-over-ns"`
		MessageOverhead    float64 `json:"head"`        // entries
		LocalZoneOnly      []bool  `json:"home-only"`   // by route; false for routes beyond its end
		ReportInterval     float64 `json:"interval-ns"` // between load reports
		AdmissionKind      string  `json:"level-kind"`  // a key of admissionKinds; any other value turns admission off
		LocalZoneProxies   bool    `json:"local-first"` // proxies prefer controllers in their own zone
		Proxies            float64 `json:"proxy-count"` // 0 if unknown
		EntriesPerSecond   float64 `json:"push-rate"`   // throughput of the channel to the proxies
		MaxMessages        float64 `json:"reloads-max"` // to one proxy within MessageWindow; 0 for no limit
		Shards             float64 `json:"shards"`      // 0 if not sharded
	} `json:"extra"`
	MachineTypes []string `json:"machine-types"`
	Controllers  float64  `json:"peers-total"`
	Report       struct {
		Names  []string `json:"names"`
		Source string   `json:"source"`
	} `json:"report"`
	Rules struct {
		SubscribeTimeout float64 `json:"ask-within-ns"`
		DrainGrace       float64 `json:"drain-grace-ns"`
		OverloadMultiple float64 `json:"fall-multiple"`
		SlowStartWindow  float64 `json:"ramp-time-ns"`
	} `json:"rules"`
	EventInterval float64  `json:"tick-ns"`
	Zones         []string `json:"zones"`
}

// Values in the document.
const (
	discoveryOnRequest = "subscribe" // changes of the endpoint list are sent only after a subscription
	reportedInline     = "inline"    // load reports include the values that the nodes report
	utilizationValue   = "utilization"
	queueLengthValue   = "backlog"
)

// admissionKinds maps the values of extra.level-kind to admission kinds, which define the unit of an admission level.
var admissionKinds = map[string]planner.AdmissionKind{
	"fraction":   planner.AdmissionFraction,
	"per_second": planner.AdmissionRate,
}

// newRawSettings returns settings with the defaults of absent keys. An absent limit defaults to no limit.
func newRawSettings() rawSettings {
	raw := rawSettings{}
	raw.Extra.MaxInFlightEntries = math.Inf(1)
	raw.Extra.EntriesPerSecond = math.Inf(1)
	return raw
}

// deployment converts valid settings to a Deployment.
func (raw *rawSettings) deployment() Deployment {
	return Deployment{
		Planner:       raw.plannerConfig(),
		Zones:         raw.Zones,
		MachineTypes:  raw.MachineTypes,
		Routes:        raw.routeNames(),
		ReportValues:  raw.Report.Names,
		EventInterval: Seconds(raw.EventInterval),
	}
}

func (raw *rawSettings) plannerConfig() planner.Config {
	return planner.Config{
		Zones:              len(raw.Zones),
		MachineTypes:       len(raw.MachineTypes),
		Controllers:        max(1, int(raw.Controllers)),
		Proxies:            int(raw.Extra.Proxies),
		LocalZoneProxies:   raw.Extra.LocalZoneProxies,
		Routes:             raw.plannerRoutes(),
		Sharded:            raw.Extra.Shards > 0, // the planner is inactive
		MustSubscribe:      raw.Discovery == discoveryOnRequest,
		SubscribeTimeout:   Seconds(raw.Rules.SubscribeTimeout),
		UtilizationIndex:   raw.reportValueIndex(utilizationValue),
		QueueLengthIndex:   raw.reportValueIndex(queueLengthValue),
		Admission:          admissionKinds[raw.Extra.AdmissionKind],
		EntriesPerSecond:   raw.Extra.EntriesPerSecond,
		MaxInFlightEntries: raw.Extra.MaxInFlightEntries,
		MessageOverhead:    raw.Extra.MessageOverhead,
		MaxMessages:        int(raw.Extra.MaxMessages),
		MessageWindow:      Seconds(raw.Extra.MessageWindow),
		DrainGrace:         Seconds(raw.Rules.DrainGrace),
		ReportInterval:     Seconds(raw.Extra.ReportInterval),
		SlowStartWindow:    Seconds(raw.Rules.SlowStartWindow),
		OverloadMultiple:   raw.Rules.OverloadMultiple,
	}
}

func (raw *rawSettings) plannerRoutes() []planner.Route {
	var routes []planner.Route
	for k, route := range raw.Routes {
		routes = append(routes, planner.Route{
			LatencyObjective: Seconds(route.LatencyObjective),
			PriorityWeight:   route.PriorityWeight,
			LocalZoneOnly:    k < len(raw.Extra.LocalZoneOnly) && raw.Extra.LocalZoneOnly[k],
		})
	}
	return routes
}

func (raw *rawSettings) routeNames() []string {
	var names []string
	for _, route := range raw.Routes {
		names = append(names, route.Name)
	}
	return names
}

// reportValueIndex returns the index of a value in load reports: the last one if the value is named twice, and -1 if it
// is absent.
func (raw *rawSettings) reportValueIndex(name string) int {
	index := -1
	if raw.Report.Source != reportedInline {
		return index
	}
	for k, value := range raw.Report.Names {
		if value == name {
			index = k
		}
	}
	return index
}
