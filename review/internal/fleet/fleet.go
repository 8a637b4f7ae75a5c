package fleet

import (
	"fmt"
	"math/rand/v2"
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
	Group    string // of nodes that drop a repeat
	WindowMS float64
}

// Plan is the deployment of a trial.
type Plan struct {
	Zones       []string
	Controllers int
	Nodes       int     // at the start
	Proxies     []int   // by zone
	ProxyRate   float64 // requests a second of a proxy in the mean; "most carry little traffic, some far more"
	Classes     []Class

	Capacity      float64       // requests a second of a warm node
	StartCapacity float64       // of a node that has just started, as a fraction
	RampTime      time.Duration // until it is warm
	FallMultiple  float64
	FallTime      time.Duration
	DrainGrace    time.Duration

	LinesPerSecond, Head, Backlog float64
	Messages                      int           // to one proxy within MessagesOver, at most
	MessagesOver                  time.Duration // of Messages
	Propagation                   time.Duration
	ReportInterval, ReportDelay   time.Duration
	ReportsPerSecond              int           // lines a second, at most
	Strikes                       int           // tries in a row that fail at a node, until a proxy keeps away from it
	RedialMin, RedialMax          time.Duration // until a proxy that has lost its controller has joined another one
}

// proxies returns the number of proxies.
func (plan Plan) proxies() (total int) {
	for _, count := range plan.Proxies {
		total += count
	}
	return total
}

// Fleet is the stand-in. The mutex guards all fields below it, and those of its controllers, proxies and nodes.
type Fleet struct {
	plan Plan
	run  *trial.Run

	mutex       sync.Mutex
	controllers []*controller
	proxies     []*proxy
	nodes       map[string]*node
	names       []string // of the nodes, in the order in which they were started
	random      *rand.Rand
	sends       []send // to nodes that drain or are gone
	tries       int    // at nodes
	failed      int    // of these
	refused     int    // requests for which a proxy had no line, or that its level refused
}

// node is a node: as it is listed, and as it is.
type node struct {
	listed    fakeplatform.Node
	startedAt float64 // s; 0: long ago
	gone      bool

	waiting   float64 // requests that it holds
	updatedAt float64
}

// proxy is a proxy with what it holds.
type proxy struct {
	zone       string
	rate       float64     // requests a second
	controller *controller // nil while it is joined to none
	joinedAt   float64     // s
	boundAt    float64     // s, when the first message of its controller with a table reached it; 0: not yet
	holds      view
	due        float64            // fraction of its next request
	strikes    map[string]int     // by node: its tries in a row that failed
	avoids     map[string]float64 // s, by node: until when it keeps away
}

// New starts the stand-in, and then the controllers with the command of the deploy file. It returns when all of them
// have answered a ping and all proxies have joined.
func New(run *trial.Run, command string, plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan, run: run, nodes: map[string]*node{}, random: rand.New(rand.NewPCG(1, 2))}
	for range plan.Nodes {
		f.addNode(0)
	}
	f.addProxies()
	for number := range plan.Controllers {
		c, err := f.newController(number)
		if err != nil {
			return f, err
		}
		f.controllers = append(f.controllers, c)
	}
	for _, c := range f.controllers {
		if err := c.start(command); err != nil {
			return f, err
		}
	}
	for _, c := range f.controllers {
		if err := c.awaitPong(); err != nil {
			return f, err
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for number := range f.proxies {
		f.join(number, f.controllers[f.random.IntN(len(f.controllers))])
	}
	return f, nil
}

// addNode adds a node that is in service, and returns it. Its start is that time in s, or long ago if it is 0.
func (f *Fleet) addNode(startedAt float64) *node {
	number := len(f.names)
	n := &node{startedAt: startedAt, listed: fakeplatform.Node{
		Name:    fmt.Sprintf("s-%03d", number),
		Address: fmt.Sprintf("127.0.0.1:%d", 9000+number), // nothing connects to it
		Zone:    f.plan.Zones[number%len(f.plan.Zones)],
		Type:    "small-2c",
		Status:  "in_service",
		Weight:  1,
	}}
	if startedAt > 0 {
		n.listed.SinceMS = float64(f.run.Time(startedAt).UnixMilli())
	}
	f.nodes[n.listed.Name] = n
	f.names = append(f.names, n.listed.Name)
	return n
}

// addProxies adds the proxies with their standing tables: six listed nodes of their zone, drawn by chance.
func (f *Fleet) addProxies() {
	const standing = 6
	for number := range f.plan.proxies() {
		zone := 0
		for first := number; first >= f.plan.Proxies[zone]; zone++ {
			first -= f.plan.Proxies[zone]
		}
		added := &proxy{
			zone:    f.plan.Zones[zone],
			rate:    f.plan.ProxyRate * f.random.ExpFloat64(),
			strikes: map[string]int{},
			avoids:  map[string]float64{},
		}
		lines := map[string]float64{}
		for len(lines) < standing {
			if name := f.names[f.random.IntN(len(f.names))]; f.nodes[name].listed.Zone == added.zone {
				lines[name] = 1
			}
		}
		added.holds = view{lines: map[string]map[string]float64{}, levels: map[string]float64{}}
		for _, class := range f.plan.Classes {
			added.holds.lines[class.Name] = lines
			added.holds.levels[class.Name] = 1
		}
		f.proxies = append(f.proxies, added)
	}
}

// join joins a proxy to a controller, which has bound it to no table yet. The proxy goes on with what it holds. The
// caller holds the mutex.
func (f *Fleet) join(number int, to *controller) {
	joining := f.proxies[number]
	joining.controller = to
	joining.joinedAt = f.run.Seconds()
	joining.boundAt = 0
	to.joined[number] = true
	delete(to.bound, number)
	to.tell("* SUBSCRIBE %d %s %.1f 1\r\n", number, joining.zone, joining.rate)
}

// Kill kills controllers at once, outright. Their proxies notice that at once, and each joins another controller after
// its own time.
func (f *Fleet) Kill(numbers ...int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, number := range numbers {
		if err := f.controllers[number].kill(); err != nil {
			return err
		}
	}
	var left []*controller
	for _, c := range f.controllers {
		if c.up {
			left = append(left, c)
		}
	}
	for number, p := range f.proxies {
		if p.controller.up {
			continue
		}
		p.controller = nil
		next := left[f.random.IntN(len(left))]
		wait := f.plan.RedialMin + time.Duration(f.random.Float64()*float64(f.plan.RedialMax-f.plan.RedialMin))
		time.AfterFunc(wait, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.join(number, next)
		})
	}
	return nil
}

// Joined returns how many proxies are joined to a controller.
func (f *Fleet) Joined(number int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.controllers[number].joined)
}

// Close ends the stand-in. The controllers end with the run.
func (f *Fleet) Close() {
	for _, c := range f.controllers {
		c.close()
	}
}
