package planner

import (
	"fmt"
	"testing"
)

// discardHost is a Host that discards all commands.
type discardHost struct{}

func (discardHost) BindProxy(int, int)                              {}
func (discardHost) SetWeight(int, uint32, float64)                  {}
func (discardHost) SetAdmission(int, RouteID, float64, RetryPolicy) {}
func (discardHost) RequestAck(int)                                  {}
func (discardHost) Wake(float64)                                    {}
func (discardHost) Subscribe()                                      {}
func (discardHost) EndpointHealthChanged(uint32, Health)            {}
func (discardHost) ThrottlingChanged(bool)                          {}

// runSizes runs a benchmark for fleets of several sizes.
func runSizes(b *testing.B, run func(b *testing.B, proxies, nodes int)) {
	for _, size := range [][2]int{{110, 3200}, {300, 60}, {1200, 200}, {2400, 200}, {2400, 800}} {
		b.Run(fmt.Sprintf("proxies=%d/nodes=%d", size[0], size[1]), func(b *testing.B) { run(b, size[0], size[1]) })
	}
}

// newFleet returns a planner whose proxies have all joined, been bound and acknowledged their commands, and the current
// time.
func newFleet(proxies, nodes int) (p *Planner, now float64) {
	config := testConfig()
	config.Proxies = proxies
	config.MaxInFlightEntries = float64(proxies) * 108
	p = New(discardHost{}, config, 100)
	p.ReplaceEndpoints(100, endpointList(nodes))
	joinAll(p, 100, proxies)
	for now = 100; len(p.proxies.bindQueue) > 0 || now < 102; now += 0.1 {
		acknowledgeAll(p, now, proxies)
		p.Step(now)
	}
	return p, now
}

// joinAll joins all proxies, alternating between the two zones.
func joinAll(p *Planner, now float64, proxies int) {
	for proxy := range proxies {
		p.ProxyJoined(now, proxy, proxy%2, 1)
	}
}

// acknowledgeAll accepts the last call and acknowledges its nonce for all proxies.
func acknowledgeAll(p *Planner, now float64, proxies int) {
	nonce := p.flow.account.nonces % nonceModulo
	p.CommandsAccepted(now, nonce)
	for proxy := range proxies {
		p.Acknowledged(now, proxy, nonce)
	}
}

// BenchmarkStep measures a step that follows a load report on each endpoint.
func BenchmarkStep(b *testing.B) {
	runSizes(b, func(b *testing.B, proxies, nodes int) {
		p, now := newFleet(proxies, nodes)
		for b.Loop() {
			now += stepIntervalSeconds
			for i := range uint32(nodes) {
				p.AddLoadReport(now, LoadReport{Node: i + 1, Completed: 10, MeanLatency: 0.2, Interval: 0.5})
			}
			p.Step(now)
			acknowledgeAll(p, now, proxies)
		}
	})
}

// BenchmarkProxyJoined measures the join of all proxies at the same time, including their acknowledgements.
func BenchmarkProxyJoined(b *testing.B) {
	runSizes(b, func(b *testing.B, proxies, nodes int) {
		p, now := newFleet(proxies, nodes)
		for b.Loop() {
			for proxy := range proxies {
				p.ProxyLeft(now, proxy)
			}
			joinAll(p, now, proxies)
			for len(p.proxies.bindQueue) > 0 {
				now += stepIntervalSeconds
				acknowledgeAll(p, now, proxies)
				p.Step(now)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*proxies), "us/proxy")
	})
}

// BenchmarkAddDemandReport measures one demand report, with the subset sizes of these fleets.
func BenchmarkAddDemandReport(b *testing.B) {
	runSizes(b, func(b *testing.B, proxies, nodes int) {
		p, now := newFleet(proxies, nodes)
		for k := 0; b.Loop(); k++ {
			now += 0.001
			p.AddDemandReport(now, DemandReport{Proxy: k % proxies, Requests: 3, Interval: 1})
		}
	})
}
