package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/review/internal/trial"
)

// controller is a controller with the parties that stand for the platform at it.
type controller struct {
	fleet     *Fleet
	name      string
	number    int
	listen    string
	discovery *fakeplatform.Discovery
	relay     net.Listener
	channel   chan message
	program   *trial.Process

	collectorsMutex sync.Mutex // guards collectors
	collectors      map[string]*fakeplatform.Collector

	// The mutex of the fleet guards what follows.
	up       bool
	joined   map[int]bool              // proxies
	bound    map[int]map[string]string // by proxy, table by class
	tables   map[string]*table
	ejected  map[string]bool // nodes that it has shut out
	watchers []net.Conn
	toldAt   map[string]float64 // s, by node: when the list told it that the node drains
	reports  *reports
}

// channelMessages bounds the messages that wait in a channel; the controller's own limit is far lower.
const channelMessages = 1 << 16

func (f *Fleet) newController(number int) (*controller, error) {
	c := &controller{
		fleet:      f,
		name:       fmt.Sprintf("n%d", number),
		number:     number,
		channel:    make(chan message, channelMessages),
		collectors: map[string]*fakeplatform.Collector{},
		reports:    newReports(),
		up:         true,
		joined:     map[int]bool{},
		bound:      map[int]map[string]string{},
		tables:     map[string]*table{},
		ejected:    map[string]bool{},
		toldAt:     map[string]float64{},
	}
	var listed []fakeplatform.Node
	for _, name := range f.names {
		listed = append(listed, f.nodes[name].listed)
	}
	var err error
	if c.discovery, err = fakeplatform.NewDiscovery("127.0.0.1:0", listed...); err != nil {
		return nil, err
	}
	if c.relay, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if c.listen, err = trial.Address(); err != nil {
		return nil, err
	}
	go c.acceptCalls()
	go c.runChannel()
	return c, nil
}

func (c *controller) acceptCalls() {
	for {
		conn, err := c.relay.Accept()
		if err != nil {
			return
		}
		go c.serveRelay(conn)
	}
}

// start writes the configuration and starts the program.
func (c *controller) start(command string) error {
	text, err := json.Marshal(map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery.Address(), "seed": fmt.Sprintf("8c1f30d27a5be96%d", c.number),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 752},
		"store":    map[string]any{"address": c.relay.Addr().String()},
		"known":    c.discovery.FullList(),
		"settings": c.fleet.plan.settings(c.number),
	})
	if err != nil {
		return err
	}
	path, err := c.fleet.run.Write(c.name+".json", string(text))
	if err != nil {
		return err
	}
	if c.number == 0 {
		c.fleet.run.Note("%s starts with the configuration %s", c.name, text)
	}
	c.program, err = c.fleet.run.StartCommand(c.name, command, "GW_CONFIG="+path)
	return err
}

// settings returns the settings of a controller, in the form of the simulator's interface.
func (plan Plan) settings(number int) map[string]any {
	var categories []any
	for _, class := range plan.Classes {
		categories = append(categories, map[string]any{
			"name": class.Name, "promise-ns": class.AimMS * 1e6, "deadline-ns": class.LimitMS * 1e6, "gain": class.Worth,
			"effect": class.Effect, "group": class.Group, "window-ns": class.WindowMS * 1e6,
		})
	}
	return map[string]any{
		"family": "control", "zones": plan.Zones, "zone": number % len(plan.Zones), "machine-types": []string{"small-2c"}, "tick-ns": 1000000,
		"peers-total": plan.Controllers, "me": number, "discovery": "automatic", "weights": "off", "worth-by": "request",
		"report": map[string]any{"names": []string{}, "source": "off"}, "categories": categories,
		"extra": map[string]any{
			"backlog": plan.Backlog, "push-rate": plan.LinesPerSecond, "head": plan.Head, "proxy-count": plan.proxies(),
			"level-kind": "fraction", "reloads-max": plan.Messages, "counted-over-ns": plan.MessagesOver.Nanoseconds(), "shards": 0,
			"home-only": make([]bool, len(plan.Classes)), "ingest-rate": plan.ReportsPerSecond,
			"interval-ns": plan.ReportInterval.Nanoseconds(), "propagation-ns": plan.Propagation.Nanoseconds(),
			"pick": "random", "strikes": plan.Strikes, "local-first": false, "default-retry": 1, "initial-set": 6, "unserved-max-ns": 9300000000,
		},
		"rules": map[string]any{
			"ramp-time-ns": plan.RampTime.Nanoseconds(), "fall-multiple": plan.FallMultiple, "fall-ns": plan.FallTime.Nanoseconds(),
			"start-capacity": plan.StartCapacity, "drain-grace-ns": plan.DrainGrace.Nanoseconds(),
		},
	}
}

// awaitPong waits until the controller answers a ping. Clients come once all controllers are ready.
func (c *controller) awaitPong() error {
	const attempts = 100
	var last error
	for range attempts {
		var collector *fakeplatform.Collector
		if collector, last = fakeplatform.NewCollector(c.listen, c.fleet.plan.Zones[0]); last == nil {
			last = collector.Ping()
			collector.Close()
		}
		if last == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s does not answer: %w", c.name, last)
}

// kill kills the program outright. What waits in its channel is lost. The caller holds the mutex.
func (c *controller) kill() error {
	c.up = false
	clear(c.joined)
	return c.program.Signal(syscall.SIGKILL)
}

func (c *controller) close() {
	c.relay.Close()
	c.discovery.Close()
}
