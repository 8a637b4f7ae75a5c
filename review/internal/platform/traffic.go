package platform

import (
	"errors"
	"maps"
	"slices"
	"time"

	"harehook.dev/harehook/internal/fakeplatform"
)

// node is a node: as it is listed, and as it is.
type node struct {
	listed      fakeplatform.Node
	up          bool
	startedAt   float64 // s; 0: long ago
	toldStartAt float64 // s, when the controller was told of this start

	waiting   float64 // requests that it holds
	updatedAt float64
}

// proxy is a proxy with what it holds.
type proxy struct {
	zone       string
	bound      map[string]string // table by class
	holds      view
	lastSentAt float64 // s, time of the call of the last message that it has applied
	due        float64 // fraction of its next request
}

// Request is a request that a proxy sent to a node.
type Request struct {
	At        float64
	Proxy     int
	ProxyZone string
	Class     string
	Node      string
	NodeZone  string
	Known     bool // the proxy's last message was sent after the controller was told of the node's last start
	Answered  bool
}

// trafficStep is the interval at which proxies send what is due.
const trafficStep = 10 * time.Millisecond

// outcome is what proxies met at a node, or got for a class, since the last report.
type outcome struct {
	count, failed int
	seconds       float64 // sum of the times of good answers
}

type (
	loadKey struct{ zone, node string }
	rateKey struct {
		proxy int
		class string
	}
)

// errControllerEnded is returned if the controller ends during the trial.
var errControllerEnded = errors.New("the controller has ended")

// Serve has the proxies send requests and the collectors report until a time.
func (p *Platform) Serve(until float64) error {
	loads := map[loadKey]*outcome{}
	rates := map[rateKey]int{}
	collectors := map[string]*fakeplatform.Collector{}
	defer func() {
		for _, collector := range collectors {
			collector.Close()
		}
	}()
	reportAt := p.run.Seconds() + p.plan.ReportInterval.Seconds()
	last := p.run.Seconds()
	for last < until {
		if !p.program.Running() {
			return errControllerEnded
		}
		time.Sleep(trafficStep)
		now := p.run.Seconds()
		p.mutex.Lock()
		for number := range p.proxies {
			p.sendDue(number, now, now-last, loads, rates)
		}
		p.mutex.Unlock()
		last = now
		if now < reportAt {
			continue
		}
		reportAt += p.plan.ReportInterval.Seconds()
		sentLoads, sentRates := loads, rates
		loads, rates = map[loadKey]*outcome{}, map[rateKey]int{}
		p.connect(collectors)
		targets := maps.Clone(collectors)
		time.AfterFunc(p.plan.ReportDelay, func() { p.report(targets, sentLoads, sentRates) })
	}
	time.Sleep(p.plan.ReportDelay + trafficStep)
	return nil
}

// sendDue sends the requests of a proxy that are due.
func (p *Platform) sendDue(number int, now, elapsed float64, loads map[loadKey]*outcome, rates map[rateKey]int) {
	sender := p.proxies[number]
	sender.due += elapsed * p.plan.ProxyRate
	for ; sender.due >= 1; sender.due-- {
		class := p.pickClass()
		rates[rateKey{number, class.Name}]++
		if p.random.Float64() >= sender.holds.levels[class.Name] {
			continue // refused by the level
		}
		name := p.pickLine(sender, class.Name)
		if name == "" {
			continue // refused: no line
		}
		target := p.nodes[name]
		answered, seconds := target.handle(now, p.plan)
		p.requests = append(p.requests, Request{
			At: now, Proxy: number, ProxyZone: sender.zone, Class: class.Name, Node: name, NodeZone: target.listed.Zone,
			Known: sender.lastSentAt > target.toldStartAt, Answered: answered,
		})
		key := loadKey{sender.zone, name}
		if loads[key] == nil {
			loads[key] = &outcome{}
		}
		loads[key].count++
		if answered {
			loads[key].seconds += seconds
		} else {
			loads[key].failed++
		}
	}
}

func (p *Platform) pickClass() Class {
	remaining := p.random.Float64()
	for _, class := range p.plan.Classes {
		remaining -= class.Share
		if remaining < 0 {
			return class
		}
	}
	return p.plan.Classes[0]
}

// pickLine picks a line at random by weight among those that are not withdrawn.
func (p *Platform) pickLine(sender *proxy, class string) string {
	lines := sender.holds.lines[class]
	sum := 0.0
	names := slices.Sorted(maps.Keys(lines))
	names = slices.DeleteFunc(names, func(name string) bool { return sender.holds.withdrawn[name] })
	for _, name := range names {
		sum += lines[name]
	}
	remaining := p.random.Float64() * sum
	for _, name := range names {
		remaining -= lines[name]
		if remaining < 0 {
			return name
		}
	}
	return ""
}

// capacity returns the requests a second that a node can do. It rises evenly from its start until it is warm.
func (n *node) capacity(now float64, plan Plan) float64 {
	if n.startedAt == 0 {
		return plan.Capacity
	}
	age := (now - n.startedAt) / plan.RampTime.Seconds()
	return plan.Capacity * min(1, plan.StartCapacity+(1-plan.StartCapacity)*age)
}

// handle reports whether a node answers a request, and after how many seconds. A request that would wait for longer
// than the first class's limit is not answered.
func (n *node) handle(now float64, plan Plan) (answered bool, seconds float64) {
	if !n.up {
		return false, 0
	}
	capacity := n.capacity(now, plan)
	n.waiting = max(0, n.waiting-(now-n.updatedAt)*capacity)
	n.updatedAt = now
	n.waiting++
	const cores = 3 // a warm node does a request in cores/Capacity seconds
	seconds = max(cores, n.waiting) / capacity
	if limit := plan.Classes[0].LimitMS / 1000; seconds > limit {
		n.waiting--
		return false, limit
	}
	return true, seconds
}

// connect connects the collectors that are missing.
func (p *Platform) connect(collectors map[string]*fakeplatform.Collector) {
	for _, zone := range p.plan.Zones {
		if collectors[zone] != nil {
			continue
		}
		if collector, err := fakeplatform.NewCollector(p.listen, zone); err == nil {
			collectors[zone] = collector
		}
	}
}

// report sends what proxies met at nodes and the requests that came to them.
func (p *Platform) report(collectors map[string]*fakeplatform.Collector, loads map[loadKey]*outcome, rates map[rateKey]int) {
	over := float64(p.plan.ReportInterval.Milliseconds())
	send := func(zone string, fields map[string]any) {
		if collector := collectors[zone]; collector != nil {
			if err := collector.Send(fields); err != nil {
				p.run.Note("collector of %s: %v", zone, err)
			}
		}
	}
	for key, met := range loads {
		mean := 0.0
		if good := met.count - met.failed; good > 0 {
			mean = met.seconds / float64(good) * 1000
		}
		send(key.zone, map[string]any{"@type": "LOAD", "site": key.zone, "target": key.node, "count": met.count, "fail": met.failed,
			"mean": mean, "over": over})
	}
	for key, count := range rates {
		send(p.proxies[key.proxy].zone, map[string]any{"@type": "RATE", "id": key.proxy, "lane": key.class, "count": count, "fail": 0,
			"over": over})
	}
}
