package scaling

import (
	"errors"

	"harehook.dev/harehook/planner"
)

const (
	stepEvery      = 0.1   // s between two steps of the module
	stepsReport    = 5     // steps between two reports on a node, which come each half second
	typicalProxies = 110   // proxies of one controller
	stepNodes      = 800   // nodes where the proxies grow
	stepsFew       = 30    // steps that one figure is taken over at least: 3 s, so that all that is not of every step is in it
	settleSteps    = 30    // steps until the first tables and levels are out
	nonceModulo    = 60000 // nonces of a push, well under what an order carries
)

// plannerHost carries nothing out. It notes the last nonce, so that it can be acknowledged, and counts the orders.
type plannerHost struct {
	nonce     int
	requested bool
	orders    int
}

func (h *plannerHost) BindProxy(int, int)                                              { h.orders++ }
func (h *plannerHost) SetWeight(int, uint32, float64)                                  { h.orders++ }
func (h *plannerHost) SetAdmission(int, planner.RouteID, float64, planner.RetryPolicy) { h.orders++ }
func (h *plannerHost) RequestAck(nonce int)                                            { h.nonce, h.requested = nonce, true }
func (h *plannerHost) Wake(float64)                                                    {}
func (h *plannerHost) Subscribe()                                                      {}

// EndpointHealthChanged implements planner.Host.
func (h *plannerHost) EndpointHealthChanged(uint32, planner.Health) {}

// ThrottlingChanged implements planner.Host.
func (h *plannerHost) ThrottlingChanged(bool) {}

// plannerConfig is a deployment without limits of a channel that would hold the module back.
func plannerConfig(proxies, routes, zones int) planner.Config {
	site := planner.Config{Seed: 1, Zones: zones, MachineTypes: 1, Controllers: 1, Proxies: proxies, SubscribeTimeout: 10, UtilizationIndex: -1, QueueLengthIndex: -1,
		Admission: planner.AdmissionFraction, EntriesPerSecond: 1e6, MaxInFlightEntries: 1e7, MessageOverhead: 5, MessageWindow: 10, ReportInterval: 0.5, SlowStartWindow: 16, OverloadMultiple: 3}
	for r := range routes {
		site.Routes = append(site.Routes, planner.Route{LatencyObjective: 1, PriorityWeight: float64(1 + r)})
	}
	return site
}

// fleetZones is the number of zones of a planner's fleet.
const fleetZones = 2

// plannerFleet is a planner whose proxies have joined, with a clock of its own.
type plannerFleet struct {
	host           *plannerHost
	module         *planner.Planner
	now            float64
	nodes, proxies int
	steps          int
}

func newPlannerFleet(nodes, proxies, routes int) *plannerFleet {
	f := &plannerFleet{host: &plannerHost{}, now: 100, nodes: nodes, proxies: proxies}
	f.module = planner.New(f.host, plannerConfig(proxies, routes, fleetZones), f.now)
	rows := make([]planner.Endpoint, nodes)
	for i := range rows {
		rows[i] = planner.Endpoint{Node: uint32(i + 1), Zone: i % fleetZones, State: planner.Ready}
	}
	f.module.ReplaceEndpoints(f.now, rows)
	for p := range proxies {
		f.module.ProxyJoined(f.now, p, p%fleetZones, 1)
	}
	return f
}

// reports tells what the proxies met at each node, and what each proxy was asked.
func (f *plannerFleet) reports() {
	for i := range f.nodes {
		f.module.AddLoadReport(f.now, planner.LoadReport{Node: uint32(i + 1), Completed: 10, MeanLatency: 0.2 + 0.1*float64(i%7), Interval: 0.5})
	}
	for p := range f.proxies {
		f.module.AddDemandReport(f.now, planner.DemandReport{Proxy: p, Requests: 3, Interval: 1})
	}
}

// confirm has all proxies acknowledge what was ordered.
func (f *plannerFleet) confirm() {
	if !f.host.requested {
		return
	}
	f.host.requested = false
	f.module.CommandsAccepted(f.now, f.host.nonce)
	for p := range f.proxies {
		f.module.Acknowledged(f.now, p, f.host.nonce)
	}
}

// step lets a tenth of a second pass. The reports and confirmations beside it are not metered.
func (f *plannerFleet) step(m *meter) {
	if f.steps%stepsReport == 0 {
		f.reports()
	}
	f.steps++
	f.now += stepEvery
	if m != nil {
		m.start()
	}
	f.module.Step(f.now)
	if m != nil {
		m.stop()
	}
	f.confirm()
}

// stepSample meters steps of a fleet that has settled.
func stepSample(size, nodes, proxies int, effort Effort) (Sample, error) {
	s := newSample(size)
	f := newPlannerFleet(nodes, proxies, 2)
	for range settleSteps {
		f.step(nil)
	}
	if f.host.orders == 0 {
		return s, errors.New("the module ordered nothing: the fleet did not come up")
	}
	var m meter
	n := 0
	for !effort.enough(&m, n, stepsFew) {
		f.step(&m)
		n++
	}
	m.into(&s, n)
	return s, nil
}

func stepSlopes() []Slope {
	return []Slope{
		{Name: "step-nodes", Operation: "one step of the module (10 a second), 110 proxies", Size: "nodes", Method: Isolated,
			Sizes: []int{23, 130, 800, 3200, 13000},
			Run:   func(size int, effort Effort) (Sample, error) { return stepSample(size, size, typicalProxies, effort) }},
		{Name: "step-proxies", Operation: "one step of the module (10 a second), 800 nodes", Size: "proxies", Method: Isolated,
			Sizes: []int{110, 300, 800, 2400},
			Run:   func(size int, effort Effort) (Sample, error) { return stepSample(size, stepNodes, size, effort) }},
	}
}
