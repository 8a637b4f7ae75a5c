package settings

import (
	"fmt"
	"math"

	"harehook.dev/harehook/planner"
)

// recordingHost records the commands of a planner, and the last weight or admission level that cannot be sent.
type recordingHost struct {
	stepAt       float64 // s
	lastNonce    int
	boundProxies int
	weights      map[int]map[uint32]float64 // by table and node
	fault        string
}

func (h *recordingHost) BindProxy(int, int) { h.boundProxies++ }

func (h *recordingHost) SetWeight(table int, node uint32, weight float64) {
	if h.weights[table] == nil {
		h.weights[table] = map[uint32]float64{}
	}
	h.weights[table][node] = weight
	if !(weight >= 0 && weight < math.MaxFloat32) {
		h.fault = fmt.Sprint("weight ", weight)
	}
}

func (h *recordingHost) SetAdmission(_ int, _ planner.RouteID, level float64, _ planner.RetryPolicy) {
	if !(level >= 0 && level <= math.MaxFloat32) {
		h.fault = fmt.Sprint("level ", level)
	}
}

func (h *recordingHost) RequestAck(nonce int)                         { h.lastNonce = nonce }
func (h *recordingHost) Wake(at float64)                              { h.stepAt = at }
func (h *recordingHost) Subscribe()                                   {}
func (h *recordingHost) EndpointHealthChanged(uint32, planner.Health) {}
func (h *recordingHost) ThrottlingChanged(bool)                       {}

// runPlanner runs a planner with the given settings for a minute and returns a description of a fault, or "" if there
// is none. There are two proxies and two nodes, one of which drains half-way, and the load reports show a fleet that is
// saturated for a while.
func runPlanner(deployment Deployment) string {
	const (
		start          = 100.0 // s
		end            = start + 60
		saturatedFrom  = start + 10
		saturatedUntil = start + 30
		reportInterval = 0.5
	)
	host := &recordingHost{weights: map[int]map[uint32]float64{}}
	p := planner.New(host, deployment.Planner, start)
	lastZone := len(deployment.Zones) - 1
	lastRoute := planner.RouteID(len(deployment.Routes) - 1)
	p.ReplaceEndpoints(start, []planner.Endpoint{
		{Node: 1, State: planner.Ready},
		{Node: 2, Zone: lastZone, State: planner.Ready, StartTime: start - 1},
	})
	for proxy := range 2 {
		p.ProxyJoined(start, proxy, proxy%len(deployment.Zones), 20)
	}
	for now := start; now < end; now = max(host.stepAt, now+0.1) {
		meanLatency := 0.1
		if now > saturatedFrom && now < saturatedUntil {
			meanLatency = 5
		}
		for k := range 2 {
			p.AddLoadReport(now, planner.LoadReport{Node: uint32(k + 1), Completed: 20, Interval: reportInterval,
				MeanLatency: meanLatency, Values: make([]float64, len(deployment.ReportValues))})
			p.AddDemandReport(now, planner.DemandReport{Proxy: k, Route: lastRoute, Requests: 20, Interval: reportInterval})
		}
		if now > saturatedUntil {
			p.UpdateEndpoints(now, []planner.Endpoint{{Node: 2, Zone: lastZone, State: planner.Draining}})
		}
		p.Step(now)
		p.CommandsAccepted(now, host.lastNonce)
		if host.lastNonce > 0 {
			for proxy := range 2 {
				p.Acknowledged(now, proxy, host.lastNonce)
			}
		}
	}
	if deployment.Planner.Sharded {
		return host.fault // a store distributes the tables
	}
	for table, weights := range host.weights {
		if weights[2] > 0 {
			return fmt.Sprintf("table %d still has a weight for draining node 2", table)
		}
	}
	if host.boundProxies < 2 || len(host.weights) == 0 {
		return fmt.Sprintf("got %d bound proxies and %d tables, want at least 2 and at least 1", host.boundProxies, len(host.weights))
	}
	return host.fault
}
