package planner

import (
	"fmt"
	"testing"
)

type discardHost struct{}

func (discardHost) BindProxy(int, int)                              {}
func (discardHost) SetWeight(int, uint32, float64)                  {}
func (discardHost) SetAdmission(int, RouteID, float64, RetryPolicy) {}
func (discardHost) RequestAck(int)                                  {}
func (discardHost) Wake(float64)                                    {}
func (discardHost) Subscribe()                                      {}
func (discardHost) Log(string)                                      {}

// runSizes runs a benchmark at fleets of growing size.
func runSizes(b *testing.B, run func(b *testing.B, proxies, nodes int)) {
	for _, size := range [][2]int{{110, 3200}, {300, 60}, {1200, 200}, {2400, 200}, {2400, 800}} {
		b.Run(fmt.Sprintf("proxies=%d/nodes=%d", size[0], size[1]), func(b *testing.B) { run(b, size[0], size[1]) })
	}
}

// newFleet is a conductor that all proxies have joined and confirmed.
func newFleet(proxies, nodes int) (c *Planner, now float64) {
	config := testConfig()
	config.Proxies, config.MaxInFlightEntries = proxies, float64(proxies)*108
	c = New(discardHost{}, config, 100)
	c.ReplaceEndpoints(100, endpointList(nodes))
	joinAll(c, 100, proxies)
	for now = 100; len(c.proxies.unbound) > 0 || now < 102; now += 0.1 {
		answerAll(c, now, proxies)
		c.Step(now)
	}
	return c, now
}

func joinAll(c *Planner, now float64, proxies int) {
	for p := range proxies {
		c.ProxyJoined(now, p, p%2, 1)
	}
}

func answerAll(c *Planner, now float64, proxies int) {
	nonce := c.flow.account.nonces % nonceModulo
	c.CommandsAccepted(now, nonce)
	for p := range proxies {
		c.Acknowledged(now, p, nonce)
	}
}

func BenchmarkWake(b *testing.B) {
	runSizes(b, func(b *testing.B, proxies, nodes int) {
		c, now := newFleet(proxies, nodes)
		for b.Loop() {
			now += stepInterval
			for i := range uint32(nodes) {
				c.AddLoadReport(now, LoadReport{Node: i + 1, Completed: 10, MeanLatency: 0.2, Interval: 0.5})
			}
			c.Step(now)
			answerAll(c, now, proxies)
		}
	})
}

// A crowd that joins at once, and its confirmations.
func BenchmarkJoin(b *testing.B) {
	runSizes(b, func(b *testing.B, proxies, nodes int) {
		c, now := newFleet(proxies, nodes)
		for b.Loop() {
			for p := range proxies {
				c.ProxyLeft(now, p)
			}
			joinAll(c, now, proxies)
			for len(c.proxies.unbound) > 0 {
				now += stepInterval
				answerAll(c, now, proxies)
				c.Step(now)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*proxies), "us/proxy")
	})
}

// One report of a proxy's calls, in pools as large as these fleets have.
func BenchmarkUsage(b *testing.B) {
	runSizes(b, func(b *testing.B, proxies, nodes int) {
		c, now := newFleet(proxies, nodes)
		for k := 0; b.Loop(); k++ {
			now += 0.001
			c.AddDemandReport(now, DemandReport{Proxy: k % proxies, Requests: 3, Interval: 1})
		}
	})
}
