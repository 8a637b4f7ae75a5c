// Package loadtest runs a fleet of controllers that follow a group of members on one machine, and measures how fast and
// at what cost changes of configuration reach all of them.
//
// The members are real: each is a cluster.Node with its log on disk and the service that followers connect to, in a
// process of its own unless a test asks for one process. Most controllers are simulated: the real client and follower,
// many in a process, without a data plane. One controller has a process of its own, whose processor time, memory and
// bytes are measured. All traffic stays on loopback.
//
// Play carries out a Plan and returns a Report; ReadExperiment reads plans from KDL.
package loadtest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fault is something that is done to the fleet while changes are played.
type Fault string

// The faults, by the names that operators give them.
const (
	FaultMemberKilled Fault = "member-killed" // a member is killed and started again, then the leader
	FaultReconnect    Fault = "reconnect"     // one controller in ten loses its connection
	FaultRegionCut    Fault = "region-cut"    // the controllers of one region are cut off for a while
	FaultRejecting    Fault = "refusing"      // some controllers refuse some changes
	FaultAllRestarted Fault = "all-restarted" // all controllers are restarted within a minute, holding nothing
)

// AllFaults lists the faults in the order in which they are played.
var AllFaults = []Fault{FaultReconnect, FaultMemberKilled, FaultRejecting, FaultRegionCut, FaultAllRestarted}

// ParseFaults reads names separated by commas.
func ParseFaults(text string) (faults []Fault, err error) {
	for name := range strings.SplitSeq(text, ",") {
		fault := Fault(strings.TrimSpace(name))
		if fault == "" {
			continue
		}
		if !slices.Contains(AllFaults, fault) {
			return nil, fmt.Errorf("fault %q is not known: there are %v", fault, AllFaults)
		}
		if !slices.Contains(faults, fault) {
			faults = append(faults, fault)
		}
	}
	return faults, nil
}

// Plan is what a run is asked to do.
type Plan struct {
	Controllers int     `json:"conductors"`
	Nodes       int     `json:"nodes"`
	Services    int     `json:"services"`
	Routes      int     `json:"routes"`
	Tenants     int     `json:"tenants"`
	Regions     int     `json:"regions"`
	Zones       int     `json:"zones"`
	Members     int     `json:"members"`
	Changes     float64 `json:"changes"` // a second
	Seconds     int     `json:"seconds"` // that changes are played for
	Seed        uint64  `json:"seed"`
	Faults      []Fault `json:"faults"`
	Bounds      Bounds  `json:"bounds"`
}

// OperatorsPlan is the operators' size.
func OperatorsPlan() Plan {
	return Plan{
		Controllers: 1700, Nodes: 13000, Services: 570, Routes: 3400, Tenants: 140000,
		Regions: 12, Zones: 42, Members: 5, Changes: 1, Seconds: 120, Seed: 1, Bounds: DefaultBounds(),
	}
}

// The most that a run may ask for: it has to leave room on the machine that it runs on.
const (
	maxControllers = 4000
	maxMembers     = 9
	maxRecords     = 400_000
	maxChanges     = 200 // a second
	maxSeconds     = 3600
	scopeServices  = 6 // services of a controller's scope
)

// Validate says what of a plan can't be played.
func (p Plan) Validate() error {
	switch {
	case p.Controllers < 1 || p.Controllers > maxControllers:
		return fmt.Errorf("conductors have to be 1 to %d, not %d", maxControllers, p.Controllers)
	case p.Members < 1 || p.Members > maxMembers:
		return fmt.Errorf("members have to be 1 to %d, not %d", maxMembers, p.Members)
	case p.Services < 1 || p.Routes < 1 || p.Tenants < 0 || p.Nodes < 1:
		return fmt.Errorf("a service, a route and a node are needed at least")
	case p.Services+p.Routes+p.Tenants+p.Nodes > maxRecords:
		return fmt.Errorf("records have to be %d at most", maxRecords)
	case p.Regions < 1 || p.Zones < p.Regions:
		return fmt.Errorf("each of at least one region needs a zone: %d regions, %d zones", p.Regions, p.Zones)
	case !(p.Changes > 0 && p.Changes <= maxChanges):
		return fmt.Errorf("changes have to be over 0 and at most %d a second", maxChanges)
	case p.Seconds < 1 || p.Seconds > maxSeconds:
		return fmt.Errorf("seconds have to be 1 to %d, not %d", maxSeconds, p.Seconds)
	case p.Members < 3 && slices.Contains(p.Faults, FaultMemberKilled):
		return fmt.Errorf("%s needs three members, or nothing is agreed on meanwhile", FaultMemberKilled)
	}
	return nil
}

// Setting is a figure of a plan that flags and experiment files name.
type Setting struct {
	Name, Usage string
	Get         func(p *Plan) float64
	Set         func(p *Plan, value float64)
}

func intSetting(name, usage string, field func(p *Plan) *int) Setting {
	return Setting{name, usage,
		func(p *Plan) float64 { return float64(*field(p)) },
		func(p *Plan, value float64) { *field(p) = int(value) }}
}

func floatSetting(name, usage string, field func(p *Plan) *float64) Setting {
	return Setting{name, usage,
		func(p *Plan) float64 { return *field(p) },
		func(p *Plan, value float64) { *field(p) = value }}
}

// Settings are all figures of a plan.
var Settings = []Setting{
	intSetting("conductors", "conductors that follow the group", func(p *Plan) *int { return &p.Controllers }),
	intSetting("nodes", "nodes that overrides name", func(p *Plan) *int { return &p.Nodes }),
	intSetting("services", "services", func(p *Plan) *int { return &p.Services }),
	intSetting("routes", "routes, spread over the services", func(p *Plan) *int { return &p.Routes }),
	intSetting("tenants", "tenants, spread over the services with a heavy tail", func(p *Plan) *int { return &p.Tenants }),
	intSetting("regions", "regions", func(p *Plan) *int { return &p.Regions }),
	intSetting("zones", "zones, spread over the regions", func(p *Plan) *int { return &p.Zones }),
	intSetting("members", "members of the group", func(p *Plan) *int { return &p.Members }),
	floatSetting("changes", "changes of one record a second", func(p *Plan) *float64 { return &p.Changes }),
	intSetting("seconds", "how long changes are played", func(p *Plan) *int { return &p.Seconds }),
	{"seed", "what configuration, changes and faults are drawn from",
		func(p *Plan) float64 { return float64(p.Seed) }, func(p *Plan, value float64) { p.Seed = uint64(value) }},
	floatSetting("bound-in-force-s", "bound: seconds from a change's answer until it is in force, the worst", func(p *Plan) *float64 { return &p.Bounds.ConvergenceS }),
	floatSetting("bound-bytes-beside", "bound: bytes to an interested conductor beside the record", func(p *Plan) *float64 { return &p.Bounds.OverheadBytes }),
	floatSetting("bound-restart-nine-s", "bound: seconds until nine in ten restarted conductors are in step", func(p *Plan) *float64 { return &p.Bounds.RestartP90S }),
	floatSetting("bound-restart-all-s", "bound: seconds until all restarted conductors are in step", func(p *Plan) *float64 { return &p.Bounds.RestartAllS }),
	floatSetting("bound-conductor-cpu", "bound: part of a core of the conductor in its own process", func(p *Plan) *float64 { return &p.Bounds.ControllerCPU }),
	floatSetting("bound-conductor-mb", "bound: resident megabytes of that conductor", func(p *Plan) *float64 { return &p.Bounds.ControllerMB }),
	floatSetting("bound-conductor-kbs", "bound: kilobytes a second of that conductor, in and out", func(p *Plan) *float64 { return &p.Bounds.ControllerKBS }),
}

// findSetting finds a figure by its name.
func findSetting(name string) (Setting, bool) {
	at := slices.IndexFunc(Settings, func(s Setting) bool { return s.Name == name })
	if at < 0 {
		return Setting{}, false
	}
	return Settings[at], true
}

// interval is the time between two changes.
func (p Plan) interval() time.Duration { return time.Duration(float64(time.Second) / p.Changes) }
