// Command toy is the rest of a small platform, in one program on loopback: discovery with six nodes, a relay
// with six proxies, and a collector. One node is slow, and now and then another drains and comes back. It
// prints what the conductor orders.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"os/signal"
	"time"

	"harehook.dev/harehook/internal/standin"
)

const (
	reportEvery = 500 * time.Millisecond // the period of the example's settings
	changeEvery = 8 * time.Second        // between two changes of the list
	meanMS      = 120.0                  // of a call at a node, the slow one aside
	slowTimes   = 3.0
	calls       = 12 // at each node and proxy in a period
)

func main() {
	config := flag.String("config", "example/config.json", "the conductor's configuration")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *config); err != nil && ctx.Err() == nil {
		log.Fatal("toy: ", err)
	}
}

func run(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var config struct {
		Listen, Discovery string
		Store             struct{ Address string }
		Settings          struct {
			Zones      []string
			Categories []struct{ Name string }
		}
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	zones := config.Settings.Zones
	nodes := make([]standin.Node, 6)
	for k := range nodes {
		nodes[k] = standin.Node{Name: fmt.Sprintf("s-%d", k), Address: fmt.Sprintf("127.0.0.1:%d", 9000+k),
			Zone: zones[k%len(zones)], Type: "small", Status: "in_service", Weight: 1}
	}
	discovery, err := standin.NewDiscovery(config.Discovery, nodes...)
	if err != nil {
		return err
	}
	defer discovery.Close()
	relay, err := standin.NewRelay(config.Store.Address, discovery.Listed, func(call, answer string) {
		log.Printf("%s -> %s", call, answer)
	})
	if err != nil {
		return err
	}
	defer relay.Close()
	for id := range nodes {
		relay.Join(standin.Proxy{ID: id, Zone: zones[id%len(zones)], Rate: 24, New: true})
	}
	log.Printf("discovery at %s, relay at %s; node %s is slow", config.Discovery, config.Store.Address,
		nodes[0].Name)

	var collector *standin.Collector
	defer func() {
		if collector != nil {
			collector.Close()
		}
	}()
	report, change := time.NewTicker(reportEvery), time.NewTicker(changeEvery)
	defer report.Stop()
	defer change.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-change.C:
			n := nodes[1+turn/2%(len(nodes)-1)]
			if turn%2 == 0 {
				n.Status = "terminating"
			} else {
				n.SinceMS = float64(time.Now().UnixMilli())
			}
			log.Printf("node %s is now %s", n.Name, n.Status)
			discovery.Set(n)
			turn++
		case <-report.C:
			if collector == nil {
				if collector, err = standin.Collect(config.Listen, zones[0]); err != nil {
					collector = nil
					continue // the conductor does not listen yet
				}
				log.Print("collector connected")
			}
			if err := tell(collector, nodes, config.Settings.Categories[0].Name); err != nil {
				log.Print("collector: ", err)
				collector.Close()
				collector = nil
			}
		}
	}
}

// tell reports a period: what was met at each node and what came to each proxy.
func tell(c *standin.Collector, nodes []standin.Node, route string) error {
	over := float64(reportEvery.Milliseconds())
	for k, n := range nodes {
		mean := meanMS * (0.9 + 0.2*rand.Float64())
		if k == 0 {
			mean *= slowTimes
		}
		if err := c.Say(map[string]any{"@type": "LOAD", "site": n.Zone, "target": n.Name, "count": calls,
			"fail": 0, "mean": mean, "over": over}); err != nil {
			return err
		}
		if err := c.Say(map[string]any{"@type": "RATE", "id": k, "lane": route, "count": calls, "fail": 0,
			"over": over}); err != nil {
			return err
		}
	}
	return nil
}
