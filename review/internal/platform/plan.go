package platform

import "time"

// LossAt is the time in s at which a zone is lost in trials with [PlanWithHomeOnlyClass].
const LossAt = 15.0

// PlanWithHomeOnlyClass returns a deployment with the figures of pos-removals on the users' pages, whose class book is
// kept to its zone. 110 requests a second are 0.61 of what the nodes can do.
func PlanWithHomeOnlyClass() Plan {
	return Plan{
		Zones:          []string{"laventille", "chaguanas", "san-juan"},
		NodesPerZone:   6,
		ProxiesPerZone: 5,
		ProxyRate:      110.0 / 15,
		Classes: []Class{
			{Name: "lookup", Share: 0.7, AimMS: 2000, LimitMS: 5000, Worth: 1, Effect: "safe"},
			{Name: "book", Share: 0.3, AimMS: 1000, LimitMS: 3000, Worth: 5, Effect: "keyed", HomeOnly: true},
		},
		Capacity:       10,
		StartCapacity:  0.23,
		RampTime:       17 * time.Second,
		FallMultiple:   2.5,
		FallTime:       1500 * time.Millisecond,
		DrainGrace:     2 * time.Second,
		LinesPerSecond: 12000,
		Head:           10,
		Backlog:        24000,
		Propagation:    190 * time.Millisecond,
		ReportInterval: time.Second,
		ReportDelay:    700 * time.Millisecond,
	}
}

// LossOfFirstZone returns the loss of all nodes of the plan's first zone for 12 s. The list shows the loss after 2 s. It
// shows the returned nodes in three pushes that are 0.7 s apart, 1 to 2.4 s after their start.
func (plan Plan) LossOfFirstZone() ZoneLoss {
	return ZoneLoss{
		Zone: plan.Zones[0], At: LossAt, Len: 12, NoticeAfter: 2,
		Listed: []float64{1, 1.7, 1.7, 1.7, 1.7, 2.4},
	}
}
