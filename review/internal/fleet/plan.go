package fleet

import "time"

// SmallDay returns the deployment that the users' bench draws for a small day with five controllers of lima-ticketing:
// 240 proxies, 200 nodes, and what its settings state of the channel, the reports and the rules.
func SmallDay() Plan {
	return Plan{
		Zones:       []string{"surco", "ate", "callao"},
		Controllers: 3,
		Nodes:       200,
		Proxies:     []int{66, 105, 69},
		ProxyRate:   2000.0 / 240,
		Classes: []Class{
			{Name: "seat-quote", Share: 0.46, AimMS: 750, LimitMS: 2000, Worth: 2, Effect: "safe", Group: "all", WindowMS: 5000},
			{Name: "seat-hold", Share: 0.32, AimMS: 1200, LimitMS: 4000, Worth: 3, Effect: "keyed", Group: "zone", WindowMS: 2500},
			{Name: "ticket-issue", Share: 0.22, AimMS: 750, LimitMS: 2000, Worth: 3, Effect: "unsafe", Group: "all", WindowMS: 5000},
		},
		Capacity:         15,
		StartCapacity:    0.18,
		RampTime:         18 * time.Second,
		FallMultiple:     4,
		FallTime:         3 * time.Second,
		DrainGrace:       5600 * time.Millisecond,
		LinesPerSecond:   1200,
		Head:             4,
		Backlog:          5300,
		Messages:         30,
		MessagesOver:     10 * time.Second,
		Propagation:      179 * time.Millisecond,
		ReportInterval:   500 * time.Millisecond,
		ReportDelay:      700 * time.Millisecond,
		ReportsPerSecond: 150,
		Strikes:          8,
		RedialMin:        140 * time.Millisecond,
		RedialMax:        700 * time.Millisecond,
	}
}
