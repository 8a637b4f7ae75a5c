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
	firstPort         = 9000  // of the endpoint addresses, on which nothing listens
	requestsPerSecond = 24    // baseline rate of each proxy
	requestsPerReport = 12    // in the report of each endpoint and proxy
	meanLatencyMS     = 120.0 // of each endpoint except the slow one
	slowFactor        = 3.0   // latency of the slow endpoint, as a multiple of meanLatencyMS
)

// platform holds the fakes that the controller communicates with.
type platform struct {
	config          *config
	nodes           []fakeplatform.Node
	discovery       *fakeplatform.Discovery
	relay           *fakeplatform.Relay
	collectors      map[string]*fakeplatform.Collector // connected collectors, by zone
	endpointChanges int                                // number of endpoint changes so far
}

// startPlatform starts discovery and the relay, and joins the proxies. The collectors connect when the controller
// listens.
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
	log.Printf("platform started: discovery %s, relay %s, slow endpoint %s", c.Discovery, c.Store.Address, p.nodes[0].Name)
	return p, nil
}

// close stops all fakes.
func (p *platform) close() {
	for _, collector := range p.collectors {
		collector.Close()
	}
	p.relay.Close()
	p.discovery.Close()
}

// changeEndpoint drains an endpoint other than the slow one, or returns the drained endpoint to service.
func (p *platform) changeEndpoint() {
	n := p.nodes[1+p.endpointChanges/2%(len(p.nodes)-1)]
	if p.endpointChanges%2 == 0 {
		n.Status = "terminating"
	} else {
		n.SinceMS = float64(time.Now().UnixMilli())
	}
	p.endpointChanges++
	log.Printf("endpoint status changed: %s is %s", n.Name, n.Status)
	p.discovery.Set(n)
}

// report sends the reports of one interval. The collector of each zone reports the endpoints and proxies in its zone.
func (p *platform) report() {
	for k, n := range p.nodes {
		collector := p.connect(n.Zone)
		if collector == nil {
			return // the controller is not listening yet
		}
		if err := p.reportNode(collector, k); err != nil {
			log.Printf("report failed: collector in zone %s: %v", n.Zone, err)
			collector.Close()
			delete(p.collectors, n.Zone)
		}
	}
}

// connect returns the collector of a zone, which it connects if necessary. It returns nil if the connection fails.
func (p *platform) connect(zone string) *fakeplatform.Collector {
	if collector := p.collectors[zone]; collector != nil {
		return collector
	}
	collector, err := fakeplatform.NewCollector(p.config.Listen, zone)
	if err != nil {
		return nil
	}
	log.Printf("collector connected: zone %s", zone)
	p.collectors[zone] = collector
	return collector
}

// reportNode sends the load report of endpoint k and the demand report of proxy k.
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
