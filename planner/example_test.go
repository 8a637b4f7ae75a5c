package planner_test

import (
	"fmt"

	"harehook.dev/harehook/planner"
)

// printer is a Host that prints the commands.
type printer struct {
	wakeAt float64 // s, time of the next step that the planner requested
}

func (p *printer) BindProxy(proxy, table int) {
	fmt.Printf("bind proxy %d to table %d\n", proxy, table)
}

func (p *printer) SetWeight(table int, node uint32, weight float64) {
	fmt.Printf("table %d: node %d has weight %.2f\n", table, node, weight)
}

func (p *printer) SetAdmission(table int, route planner.RouteID, level float64, retry planner.RetryPolicy) {
	fmt.Printf("table %d: route %d is admitted at %.2f, %v\n", table, route, level, retry)
}

func (p *printer) RequestAck(nonce int) { fmt.Printf("acknowledge nonce %d\n", nonce) }
func (p *printer) Wake(at float64)      { p.wakeAt = at }
func (p *printer) Subscribe()           {}

func (p *printer) EndpointHealthChanged(node uint32, health planner.Health) {
	fmt.Printf("node %d is %s\n", node, health)
}

func (p *printer) ThrottlingChanged(active bool) { fmt.Println("throttling:", active) }

// A planner serves two endpoints and one proxy. Later, one of the endpoints drains.
func ExamplePlanner() {
	config := planner.Config{
		Zones:              1,
		MachineTypes:       1,
		Controllers:        1,
		Proxies:            1,
		Routes:             []planner.Route{{LatencyObjective: 1, PriorityWeight: 1}},
		UtilizationIndex:   -1,
		QueueLengthIndex:   -1,
		Admission:          planner.AdmissionFraction,
		EntriesPerSecond:   1000,
		MaxInFlightEntries: 1000,
		ReportInterval:     0.5,
		SlowStartWindow:    16,
		OverloadMultiple:   3,
	}
	host := &printer{}
	now := 100.0
	p := planner.New(host, config, now)
	p.ReplaceEndpoints(now, []planner.Endpoint{
		{Node: 1, State: planner.Ready},
		{Node: 2, State: planner.Ready},
	})
	p.ProxyJoined(now, 0, 0, 20)

	now = host.wakeAt
	p.Step(now)
	p.CommandsAccepted(now, 1)
	p.Acknowledged(now, 0, 1)

	fmt.Println("node 2 drains")
	p.UpdateEndpoints(now, []planner.Endpoint{{Node: 2, State: planner.Draining}})
	// Output:
	// table 0: route 0 is admitted at 1.00, no retry
	// table 0: node 1 has weight 0.50
	// table 0: node 2 has weight 0.50
	// bind proxy 0 to table 0
	// acknowledge nonce 1
	// node 2 drains
	// table 0: node 2 has weight 0.00
	// acknowledge nonce 2
}
