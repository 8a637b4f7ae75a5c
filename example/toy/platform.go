package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

const (
	nodeCount        = 6
	firstPort        = 9000  // of the nodes' addresses, which nothing listens at
	callsPerSecond   = 24    // of each proxy
	callsPerReport   = 12    // at each node and proxy
	meanMilliseconds = 120.0 // of a call at a node, the slow one aside
	slowFactor       = 3.0   // of the slow node
)

// config is what the toy needs of the conductor's configuration.
type config struct {
	Listen    string
	Discovery string
	Store     struct{ Address string }
	Settings  struct {
		Zones      []string
		Categories []struct{ Name string }
	}
}

// readConfig reads the conductor's configuration.
func readConfig(path string) (*config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(c.Settings.Zones) == 0 || len(c.Settings.Categories) == 0 {
		return nil, fmt.Errorf("%s: %w", path, errors.New("the settings name no zone or no category"))
	}
	return c, nil
}

// platform is the conductor's surroundings.
type platform struct {
	config     *config
	nodes      []fakeplatform.Node
	discovery  *fakeplatform.Discovery
	relay      *fakeplatform.Relay
	collectors map[string]*fakeplatform.Collector // that are connected, by zone
	changes    int                                // of the list of nodes so far
}

// startPlatform starts discovery and the relay, and has proxies join. Collectors connect once the conductor listens.
func startPlatform(c *config) (*platform, error) {
	p := &platform{config: c, collectors: map[string]*fakeplatform.Collector{}}
	zones := c.Settings.Zones
	for k := range nodeCount {
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
	logCall := func(call, answer string) { log.Printf("%s -> %s", call, answer) }
	if p.relay, err = fakeplatform.NewRelay(c.Store.Address, p.discovery.Listed, logCall); err != nil {
		p.discovery.Close()
		return nil, err
	}
	for id := range nodeCount {
		p.relay.Join(fakeplatform.Proxy{ID: id, Zone: zones[id%len(zones)], Rate: callsPerSecond, IsNew: true})
	}
	log.Printf("discovery at %s, relay at %s; node %s is slow", c.Discovery, c.Store.Address, p.nodes[0].Name)
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

// changeNode has a node other than the slow one drain, or come back.
func (p *platform) changeNode() {
	n := p.nodes[1+p.changes/2%(len(p.nodes)-1)]
	if p.changes%2 == 0 {
		n.Status = "terminating"
	} else {
		n.SinceMS = float64(time.Now().UnixMilli())
	}
	p.changes++
	log.Printf("node %s is now %s", n.Name, n.Status)
	p.discovery.Set(n)
}

// report sends the load reports of a period: a collector in each zone tells of the nodes and proxies there.
func (p *platform) report() {
	for k, n := range p.nodes {
		collector := p.connect(n.Zone)
		if collector == nil {
			return // the conductor does not listen yet
		}
		if err := p.reportNode(collector, k); err != nil {
			log.Printf("collector in %s: %v", n.Zone, err)
			collector.Close()
			delete(p.collectors, n.Zone)
		}
	}
}

// connect returns the collector of a zone, which it connects unless it is, or nil if no connection comes up.
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

// reportNode reports what was met at a node and what came to the proxy of the same number.
func (p *platform) reportNode(collector *fakeplatform.Collector, k int) error {
	period := float64(reportPeriod.Milliseconds())
	mean := meanMilliseconds * (0.9 + 0.2*rand.Float64())
	if k == 0 {
		mean *= slowFactor
	}
	err := collector.Send(map[string]any{"@type": "LOAD", "site": p.nodes[k].Zone, "target": p.nodes[k].Name,
		"count": callsPerReport, "fail": 0, "mean": mean, "over": period})
	if err != nil {
		return err
	}
	return collector.Send(map[string]any{"@type": "RATE", "id": k, "lane": p.config.Settings.Categories[0].Name,
		"count": callsPerReport, "fail": 0, "over": period})
}
