package loadtest

import (
	"fmt"
	"slices"
	"time"
)

// Plan describes a run. Settings covers all fields but Faults.
type Plan struct {
	Controllers int     `json:"conductors"`
	Nodes       int     `json:"nodes"`
	Services    int     `json:"services"`
	Routes      int     `json:"routes"`
	Tenants     int     `json:"tenants"`
	Regions     int     `json:"regions"`
	Zones       int     `json:"zones"`
	Members     int     `json:"members"`
	Changes     float64 `json:"changes"` // per second
	Seconds     int     `json:"seconds"` // for which changes are made
	Seed        uint64  `json:"seed"`
	Faults      []Fault `json:"faults"`
	Bounds      Bounds  `json:"bounds"`
}

// OperatorsPlan returns a plan of the size that operators run, without faults.
func OperatorsPlan() Plan {
	return Plan{
		Controllers: 1700,
		Nodes:       13000,
		Services:    570,
		Routes:      3400,
		Tenants:     140000,
		Regions:     12,
		Zones:       42,
		Members:     5,
		Changes:     1,
		Seconds:     120,
		Seed:        1,
		Bounds:      DefaultBounds(),
	}
}

// Upper limits of a plan: the run must fit on one machine.
const (
	maxControllers = 4000
	maxMembers     = 9
	maxRecords     = 400_000
	maxChanges     = 200 // per second
	maxSeconds     = 3600
)

// minMembersToKill is the smallest group that has a majority while one member is down.
const minMembersToKill = 3

// Validate returns an error that names the first setting that is out of range.
func (p Plan) Validate() error {
	switch {
	case p.Controllers < 1 || p.Controllers > maxControllers:
		return fmt.Errorf("conductors must be from 1 to %d, got %d", maxControllers, p.Controllers)
	case p.Members < 1 || p.Members > maxMembers:
		return fmt.Errorf("members must be from 1 to %d, got %d", maxMembers, p.Members)
	case p.Services < 1 || p.Routes < 1 || p.Tenants < 0 || p.Nodes < 1:
		return fmt.Errorf("services, routes and nodes must be at least 1 and tenants at least 0, got %d services, %d routes, %d nodes and %d tenants",
			p.Services, p.Routes, p.Nodes, p.Tenants)
	case p.Services+p.Routes+p.Tenants+p.Nodes > maxRecords:
		return fmt.Errorf("records must be at most %d, got %d", maxRecords, p.Services+p.Routes+p.Tenants+p.Nodes)
	case p.Regions < 1 || p.Zones < p.Regions:
		return fmt.Errorf("regions must be at least 1 and zones at least the number of regions, got %d regions and %d zones", p.Regions, p.Zones)
	case !(p.Changes > 0 && p.Changes <= maxChanges):
		return fmt.Errorf("changes must be greater than 0 and at most %d per second, got %g", maxChanges, p.Changes)
	case p.Seconds < 1 || p.Seconds > maxSeconds:
		return fmt.Errorf("seconds must be from 1 to %d, got %d", maxSeconds, p.Seconds)
	case p.Members < minMembersToKill && slices.Contains(p.Faults, FaultMemberKilled):
		return fmt.Errorf("%s needs at least %d members to keep a majority, got %d", FaultMemberKilled, minMembersToKill, p.Members)
	}
	return nil
}

// interval returns the time between two changes.
func (p Plan) interval() time.Duration { return time.Duration(float64(time.Second) / p.Changes) }
