package main

import (
	"fmt"
	"log"
	"math/rand/v2"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

const (
	endpointCount     = 6
	firstPort         = 9000  // of the endpoints' addresses, at which nothing listens
	requestsPerSecond = 24    // of each proxy
	requestsPerReport = 12    // at each endpoint and proxy
	meanLatencyMS     = 120.0 // at each endpoint but the slow one
	slowFactor        = 3.0   // of the slow endpoint
)

// platform is what the controller talks to.
type platform struct {
	config          *config
	nodes           []fakeplatform.Node
	discovery       *fakeplatform.Discovery
	relay           *fakeplatform.Relay
	collectors      map[string]*fakeplatform.Collector // connected ones, by zone
	endpointChanges int                                // so far
}

// startPlatform starts discovery and the relay, and has proxies join. Collectors connect once the controller listens.
func startPlatform(c *config) (*platform, error) {
	p := &platform{config: c, collectors: map[string]*fakeplatform.Collector{}}
	zones := c.Settings.Zones
	for k := range endpointCount {
		p.nodes = append(p.nodes, fakeplatform.Node{
			Name:    fmt.Sprintf("s-%d", k),
			Address: fmt.Sprintf("127.0.0.1:%d", firstPort+k),
			Zone:    zones[k%len(zones)],
			Type:    "small",
			Status:  "in_service",
			Weight:  1,
		})
	}
	var err error
	if p.discovery, err = fakeplatform.NewDiscovery(c.Discovery, p.nodes...); err != nil {
		return nil, err
	}
	logCall := func(call, response string) { log.Printf("%s -> %s", call, response) }
	if p.relay, err = fakeplatform.NewRelay(c.Store.Address, p.discovery.Listed, logCall); err != nil {
		p.discovery.Close()
		return nil, err
	}
	for id := range endpointCount {
		p.relay.Join(fakeplatform.Proxy{ID: id, Zone: zones[id%len(zones)], Rate: requestsPerSecond, IsNew: true})
	}
	log.Printf("discovery at %s, relay at %s; endpoint %s is slow", c.Discovery, c.Store.Address, p.nodes[0].Name)
	return p, nil
}

// close ends all parts.
func (p *platform) close() {
	for _, collector := range p.collectors {
		collector.Close()
	}
	p.relay.Close()
	p.discovery.Close()
}

// changeEndpoint has an endpoint other than the slow one drain, or come back.
func (p *platform) changeEndpoint() {
	n := p.nodes[1+p.endpointChanges/2%(len(p.nodes)-1)]
	if p.endpointChanges%2 == 0 {
		n.Status = "terminating"
	} else {
		n.SinceMS = float64(time.Now().UnixMilli())
	}
	p.endpointChanges++
	log.Printf("endpoint %s is now %s", n.Name, n.Status)
	p.discovery.Set(n)
}

// report sends the reports of an interval: a collector in each zone reports the endpoints and proxies there.
func (p *platform) report() {
	for k, n := range p.nodes {
		collector := p.connect(n.Zone)
		if collector == nil {
			return // the controller does not listen yet
		}
		if err := p.reportNode(collector, k); err != nil {
			log.Printf("collector in %s: %v", n.Zone, err)
			collector.Close()
			delete(p.collectors, n.Zone)
		}
	}
}

// connect returns the collector of a zone, or nil if no connection comes up.
func (p *platform) connect(zone string) *fakeplatform.Collector {
	if collector := p.collectors[zone]; collector != nil {
		return collector
	}
	collector, err := fakeplatform.NewCollector(p.config.Listen, zone)
	if err != nil {
		return nil
	}
	log.Printf("collector in %s connected", zone)
	p.collectors[zone] = collector
	return collector
}

// reportNode reports the load of an endpoint and the demand at the proxy of the same number.
func (p *platform) reportNode(collector *fakeplatform.Collector, k int) error {
	intervalMS := float64(reportInterval.Milliseconds())
	mean := meanLatencyMS * (0.9 + 0.2*rand.Float64())
	if k == 0 {
		mean *= slowFactor
	}
	err := collector.Send(map[string]any{"@type": "LOAD", "site": p.nodes[k].Zone, "target": p.nodes[k].Name,
		"count": requestsPerReport, "fail": 0, "mean": mean, "over": intervalMS})
	if err != nil {
		return err
	}
	return collector.Send(map[string]any{"@type": "RATE", "id": k, "lane": p.config.Settings.Routes[0].Name,
		"count": requestsPerReport, "fail": 0, "over": intervalMS})
}
