package loadtest

import (
	"fmt"
	"slices"
	"time"
)

// Plan is what a run is asked to do. Its fields but Faults and Bounds are the Settings.
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

// The most that a run may ask for: all of it has to fit on one machine.
const (
	maxControllers = 4000
	maxMembers     = 9
	maxRecords     = 400_000
	maxChanges     = 200 // a second
	maxSeconds     = 3600
)

// minMembersToKill leaves a majority while one member is down.
const minMembersToKill = 3

// Validate says what of a plan can't be played, by the names of its settings.
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
	case p.Members < minMembersToKill && slices.Contains(p.Faults, FaultMemberKilled):
		return fmt.Errorf("%s needs three members, or nothing is agreed on meanwhile", FaultMemberKilled)
	}
	return nil
}

// interval is the time between two changes.
func (p Plan) interval() time.Duration { return time.Duration(float64(time.Second) / p.Changes) }
