package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/review/internal/trial"
)

// Class is a class of requests.
type Class struct {
	Name     string
	Share    float64 // of the requests
	AimMS    float64
	LimitMS  float64
	Worth    float64
	Effect   string
	HomeOnly bool // it may go only to nodes in the proxy's zone
}

// Plan is the deployment of a trial.
type Plan struct {
	Zones          []string
	NodesPerZone   int
	ProxiesPerZone int
	ProxyRate      float64 // requests a second of each proxy
	Classes        []Class

	Capacity      float64       // requests a second of a warm node
	StartCapacity float64       // of a node that has just started, as a fraction
	RampTime      time.Duration // until it is warm
	FallMultiple  float64
	FallTime      time.Duration
	DrainGrace    time.Duration

	LinesPerSecond, Head, Backlog float64
	Propagation                   time.Duration
	ReportInterval, ReportDelay   time.Duration
}

// Platform is the stand-in. The mutex guards all fields below it.
type Platform struct {
	plan      Plan
	run       *trial.Run
	discovery *fakeplatform.Discovery
	relay     net.Listener
	listen    string // of the controller
	channel   chan message
	program   *trial.Process

	mutex     sync.Mutex
	tables    map[string]*table
	withdrawn map[string]bool
	proxies   []*proxy
	nodes     map[string]*node
	watchers  []net.Conn
	backlog   float64
	random    *rand.Rand
	requests  []Request
}

// channelMessages bounds the messages that wait in the channel; the controller's own limit is far lower.
const channelMessages = 1 << 16

// New starts the stand-in, and then the controller with the command of the deploy file. It returns when the controller
// has answered a ping.
func New(run *trial.Run, command string, plan Plan) (*Platform, error) {
	p := &Platform{
		plan:      plan,
		run:       run,
		channel:   make(chan message, channelMessages),
		tables:    map[string]*table{},
		withdrawn: map[string]bool{},
		nodes:     map[string]*node{},
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	listed := p.addNodes()
	p.addProxies()
	var err error
	if p.discovery, err = fakeplatform.NewDiscovery("127.0.0.1:0", listed...); err != nil {
		return nil, err
	}
	if p.relay, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if p.listen, err = trial.Address(); err != nil {
		return nil, err
	}
	go p.acceptCalls()
	go p.runChannel()
	if err := p.startController(command); err != nil {
		return nil, err
	}
	return p, p.awaitController()
}

// addNodes adds the nodes, which have all been warm for long, and returns their list.
func (p *Platform) addNodes() (listed []fakeplatform.Node) {
	for k := range p.plan.NodesPerZone * len(p.plan.Zones) {
		n := &node{listed: fakeplatform.Node{
			Name:    fmt.Sprintf("s-%02d", k),
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+k), // nothing connects to it
			Zone:    p.plan.Zones[k%len(p.plan.Zones)],
			Type:    "standard",
			Status:  "in_service",
			Weight:  1,
		}, up: true}
		p.nodes[n.listed.Name] = n
		listed = append(listed, n.listed)
	}
	return listed
}

// addProxies adds the proxies with their standing tables: up to six listed nodes of their zone.
func (p *Platform) addProxies() {
	const standing = 6
	for k := range p.plan.ProxiesPerZone * len(p.plan.Zones) {
		added := &proxy{zone: p.plan.Zones[k%len(p.plan.Zones)], bound: map[string]string{}}
		lines := map[string]float64{}
		for name, n := range p.nodes {
			if n.listed.Zone == added.zone && len(lines) < standing {
				lines[name] = 1
			}
		}
		added.holds = view{lines: map[string]map[string]float64{}, levels: map[string]float64{}}
		for _, class := range p.plan.Classes {
			added.holds.lines[class.Name] = lines
			added.holds.levels[class.Name] = 1
		}
		p.proxies = append(p.proxies, added)
	}
}

func (p *Platform) acceptCalls() {
	for {
		conn, err := p.relay.Accept()
		if err != nil {
			return
		}
		go p.serveRelay(conn)
	}
}

// startController writes the configuration and starts the controller.
func (p *Platform) startController(command string) error {
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": p.listen, "discovery": p.discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"store":    map[string]any{"address": p.relay.Addr().String()},
		"known":    p.discovery.FullList(),
		"settings": p.settings(),
	})
	if err != nil {
		return err
	}
	path, err := p.run.Write("config.json", string(text))
	if err != nil {
		return err
	}
	p.run.Note("the controller starts with the settings %s", text)
	p.program, err = p.run.StartCommand("harehook", command, "GW_CONFIG="+path)
	return err
}

// settings returns the settings of the deployment, in the form of the simulator's interface.
func (p *Platform) settings() map[string]any {
	var categories []any
	var homeOnly []bool
	for _, class := range p.plan.Classes {
		categories = append(categories, map[string]any{
			"name": class.Name, "promise-ns": class.AimMS * 1e6, "deadline-ns": class.LimitMS * 1e6, "gain": class.Worth, "effect": class.Effect,
			"group": "cell", "window-ns": 2000000000,
		})
		homeOnly = append(homeOnly, class.HomeOnly)
	}
	return map[string]any{
		"family": "control", "zones": p.plan.Zones, "zone": 0, "machine-types": []string{"standard"}, "tick-ns": 2000000,
		"peers-total": 1, "me": 0, "discovery": "automatic", "weights": "off", "worth-by": "request",
		"report": map[string]any{"names": []string{}, "source": "off"}, "categories": categories,
		"extra": map[string]any{
			"backlog": p.plan.Backlog, "push-rate": p.plan.LinesPerSecond, "head": p.plan.Head, "proxy-count": len(p.proxies),
			"level-kind": "fraction", "reloads-max": 0, "counted-over-ns": 0, "shards": 0, "home-only": homeOnly,
			"interval-ns": p.plan.ReportInterval.Nanoseconds(), "propagation-ns": p.plan.Propagation.Nanoseconds(),
			"pick": "random", "strikes": 0, "local-first": false, "default-retry": 1, "initial-set": 6, "unserved-max-ns": 4100000000,
		},
		"rules": map[string]any{
			"ramp-time-ns": p.plan.RampTime.Nanoseconds(), "fall-multiple": p.plan.FallMultiple, "fall-ns": p.plan.FallTime.Nanoseconds(),
			"start-capacity": p.plan.StartCapacity, "drain-grace-ns": p.plan.DrainGrace.Nanoseconds(),
		},
	}
}

// awaitController waits until the controller answers a ping. Clients come once all controllers are ready.
func (p *Platform) awaitController() error {
	const attempts = 100
	var last error
	for range attempts {
		var c *fakeplatform.Collector
		if c, last = fakeplatform.NewCollector(p.listen, p.plan.Zones[0]); last == nil {
			last = c.Ping()
			c.Close()
		}
		if last == nil {
			p.run.Note("the controller is ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the controller does not answer: %w", last)
}

// Close ends the stand-in. The controller ends with the run.
func (p *Platform) Close() {
	p.relay.Close()
	p.discovery.Close()
}
