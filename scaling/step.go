package scaling

import (
	"errors"

	"harehook.dev/harehook/planner"
)

const (
	stepInterval   = 0.1   // seconds between two steps of the planner
	stepsPerReport = 5     // each node is reported every half second
	typicalProxies = 110   // proxies of one controller
	stepNodes      = 800   // nodes of the slopes over proxies and routes
	minSteps       = 30    // measured for one sample: 3 s, so that it includes the work that is not done at every step
	settleSteps    = 30    // until the first tables and admission levels are sent
	maxNonce       = 60000 // of a push, well below the maximum of a command
)

// plannerHost counts commands without executing them. It records the last nonce, so that it can be acknowledged.
type plannerHost struct {
	commands     int
	nonce        int
	ackRequested bool
}

// BindProxy implements planner.Host, as do the methods below.
func (h *plannerHost) BindProxy(int, int) { h.commands++ }

// SetWeight implements planner.Host.
func (h *plannerHost) SetWeight(int, uint32, float64) { h.commands++ }

// SetAdmission implements planner.Host.
func (h *plannerHost) SetAdmission(int, planner.RouteID, float64, planner.RetryPolicy) { h.commands++ }

// RequestAck implements planner.Host.
func (h *plannerHost) RequestAck(nonce int) {
	h.nonce = nonce
	h.ackRequested = true
}

// Wake implements planner.Host.
func (h *plannerHost) Wake(float64) {}

// Subscribe implements planner.Host.
func (h *plannerHost) Subscribe() {}

// EndpointHealthChanged implements planner.Host.
func (h *plannerHost) EndpointHealthChanged(uint32, planner.Health) {}

// ThrottlingChanged implements planner.Host.
func (h *plannerHost) ThrottlingChanged(bool) {}

// plannerConfig returns a configuration whose flow control does not limit the planner.
func plannerConfig(proxies, routes, zones int) planner.Config {
	config := planner.Config{
		Seed:               1,
		Zones:              zones,
		MachineTypes:       1,
		Controllers:        1,
		Proxies:            proxies,
		SubscribeTimeout:   10,
		UtilizationIndex:   -1,
		QueueLengthIndex:   -1,
		Admission:          planner.AdmissionFraction,
		EntriesPerSecond:   1e6,
		MaxInFlightEntries: 1e7,
		MessageOverhead:    5,
		MessageWindow:      10,
		ReportInterval:     0.5,
		SlowStartWindow:    16,
		OverloadMultiple:   3,
	}
	for route := range routes {
		config.Routes = append(config.Routes, planner.Route{LatencyObjective: 1, PriorityWeight: float64(1 + route)})
	}
	return config
}

// fleetZones is the number of zones of a planner's fleet.
const fleetZones = 2

// plannerFleet is a planner whose proxies have joined, with its own clock.
type plannerFleet struct {
	host    *plannerHost
	planner *planner.Planner
	now     float64 // seconds
	nodes   int
	proxies int
	steps   int
}

// newPlannerFleet returns a planner with proxies and nodes spread over the zones.
func newPlannerFleet(nodes, proxies, routes int) *plannerFleet {
	fleet := &plannerFleet{host: &plannerHost{}, now: 100, nodes: nodes, proxies: proxies}
	fleet.planner = planner.New(fleet.host, plannerConfig(proxies, routes, fleetZones), fleet.now)
	fleet.planner.ReplaceEndpoints(fleet.now, readyEndpoints(nodes))
	for proxy := range proxies {
		fleet.planner.ProxyJoined(fleet.now, proxy, proxy%fleetZones, 1)
	}
	return fleet
}

// readyEndpoints returns ready endpoints spread over the zones.
func readyEndpoints(nodes int) []planner.Endpoint {
	endpoints := make([]planner.Endpoint, nodes)
	for index := range endpoints {
		endpoints[index] = planner.Endpoint{Node: uint32(index + 1), Zone: index % fleetZones, State: planner.Ready}
	}
	return endpoints
}

// addReports adds a load report on each node and a demand report of each proxy.
func (f *plannerFleet) addReports() {
	for index := range f.nodes {
		f.planner.AddLoadReport(f.now, planner.LoadReport{
			Node:        uint32(index + 1),
			Completed:   10,
			MeanLatency: 0.2 + 0.1*float64(index%7),
			Interval:    0.5,
		})
	}
	for proxy := range f.proxies {
		f.planner.AddDemandReport(f.now, planner.DemandReport{Proxy: proxy, Requests: 3, Interval: 1})
	}
}

// acknowledge acknowledges the last nonce for all proxies if the planner has requested it.
func (f *plannerFleet) acknowledge() {
	if !f.host.ackRequested {
		return
	}
	f.host.ackRequested = false
	f.planner.CommandsAccepted(f.now, f.host.nonce)
	for proxy := range f.proxies {
		f.planner.Acknowledged(f.now, proxy, f.host.nonce)
	}
}

// step advances the clock by a tenth of a second and runs one planner step. The meter, which may be nil, does not
// include the reports and acknowledgements.
func (f *plannerFleet) step(cost *meter) {
	if f.steps%stepsPerReport == 0 {
		f.addReports()
	}
	f.steps++
	f.now += stepInterval
	if cost != nil {
		cost.start()
	}
	f.planner.Step(f.now)
	if cost != nil {
		cost.stop()
	}
	f.acknowledge()
}

// settle runs steps until the first tables and admission levels are sent.
func (f *plannerFleet) settle() {
	for range settleSteps {
		f.step(nil)
	}
}

// errNoCommands is returned when a planner has not planned for its fleet, so that its steps cost nothing.
var errNoCommands = errors.New("the planner sent no commands while its fleet settled")

// stepSample measures the steps of a settled fleet.
func stepSample(size, nodes, proxies int, effort Effort) (Sample, error) {
	sample := newSample(size)
	fleet := newPlannerFleet(nodes, proxies, 2)
	fleet.settle()
	if fleet.host.commands == 0 {
		return sample, errNoCommands
	}
	var cost meter
	steps := 0
	for !effort.isEnough(&cost, steps, minSteps) {
		fleet.step(&cost)
		steps++
	}
	cost.recordPerOperation(&sample, steps)
	return sample, nil
}

func stepSlopes() []Slope {
	return []Slope{
		{
			Name:      "step-nodes",
			Operation: "one step of the planner (10 per second), 110 proxies",
			Size:      "nodes",
			Method:    Isolated,
			Sizes:     []int{23, 130, 800, 3200, 13000},
			Run:       func(size int, effort Effort) (Sample, error) { return stepSample(size, size, typicalProxies, effort) },
		},
		{
			Name:      "step-proxies",
			Operation: "one step of the planner (10 per second), 800 nodes",
			Size:      "proxies",
			Method:    Isolated,
			Sizes:     []int{110, 300, 800, 2400},
			Run:       func(size int, effort Effort) (Sample, error) { return stepSample(size, stepNodes, size, effort) },
		},
	}
}
